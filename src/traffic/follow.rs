//! Follows the configuration in the store, and takes it from peers while the store is out.

use {
    super::{RouteMap, TrafficBoard},
    crate::{
        membership::Backoff,
        node::Formats,
        store::{Change, Entry, SharedStore, StoreError, StoreVersion, live_watch},
    },
    bytes::Bytes,
    futures::StreamExt,
    std::{sync::Arc, time::Duration},
    tokio::time::{self, Instant},
};

/// The first pause after a failed call.
const RETRY_FIRST: Duration = Duration::from_millis(150);

/// The longest pause after failed calls.
const RETRY_MAX: Duration = Duration::from_millis(800);

/// Keeps the configuration in force up to date.
pub struct ConfigFollower {
    store: SharedStore,
    formats: Arc<dyn Formats>,
    board: Arc<TrafficBoard>,
}

impl ConfigFollower {
    /// Makes a follower that offers what it reads to a board.
    pub fn new(store: SharedStore, formats: Arc<dyn Formats>, board: Arc<TrafficBoard>) -> Self {
        Self {
            store,
            formats,
            board,
        }
    }

    /// Follows the store for ever.
    pub async fn run(self) {
        let mut backoff = Backoff::new(RETRY_FIRST, RETRY_MAX);
        loop {
            let started = Instant::now();
            let cause = self.follow(&mut backoff).await;
            if cause != StoreError::Compacted {
                log::debug!("config: the store cannot be followed: {cause}");
            }
            time::sleep(backoff.delay_since(started)).await;
        }
    }

    /// Reads the configuration and its changes until an error.
    async fn follow(&self, backoff: &mut Backoff) -> StoreError {
        let key = self.formats.keys().config;
        let mut since = match self.read(&key).await {
            Ok(version) => version,
            Err(cause) => return cause,
        };
        backoff.reset();
        let mut changes = live_watch(&*self.store, &key, since);
        while let Some(batch) = changes.next().await {
            match batch {
                Ok(batch) => {
                    since = since.max(batch.version);
                    batch
                        .changes
                        .iter()
                        .for_each(|change| self.apply(&key, change));
                }
                Err(cause) => return cause,
            }
        }
        StoreError::Unknown("the watch ended".to_owned())
    }

    async fn read(&self, key: &str) -> Result<StoreVersion, StoreError> {
        let range = self.store.range(key, 1).await?;
        for entry in range.entries {
            self.offer(key, &entry);
        }
        Ok(range.version)
    }

    fn apply(&self, key: &str, change: &Change) {
        if let Change::Put(entry) = change {
            self.offer(key, entry);
        }
    }

    fn offer(&self, key: &str, entry: &Entry) {
        if entry.key == key {
            offer_bytes(&*self.formats, &self.board, entry.value.clone());
        }
    }
}

/// Reads a configuration and offers it to a board; returns whether it is now in force.
pub fn offer_bytes(formats: &dyn Formats, board: &TrafficBoard, bytes: Bytes) -> bool {
    match formats.read_config(&bytes) {
        Ok(config) => {
            let version = config.version;
            let taken = board.offer(RouteMap::new(config, bytes));
            if taken {
                log::info!(version = version.0; "config: a version is in force");
            }
            taken
        }
        Err(cause) => {
            log::warn!("config: a published configuration cannot be read: {cause}");
            false
        }
    }
}
