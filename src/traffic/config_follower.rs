//! Keeps a node's active configuration up to date with the platform's store.

use {
    super::{ActiveConfig, RouteTable},
    crate::{
        membership::Backoff,
        node::Formats,
        store::{Change, Entry, SharedStore, StoreError, StoreVersion, watch_with_timeout},
    },
    bytes::Bytes,
    futures::StreamExt,
    std::{sync::Arc, time::Duration},
    tokio::time::{self, Instant},
};

/// The delay before the first retry of a failed store call.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(150);

/// The longest delay between retries of failed store calls.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(800);

/// Is told when the configuration was read in full.
pub trait ReadObserver: Send + Sync {
    /// Returns the present time by the observer's clock.
    fn now(&self) -> Duration;

    /// Records that what a call read that was sent at `sent_at` is in force.
    fn record_read(&self, sent_at: Duration);
}

/// Watches the published configuration in the store and activates newer versions.
pub struct ConfigFollower {
    store: SharedStore,
    formats: Arc<dyn Formats>,
    active_config: Arc<ActiveConfig>,
    reads: Option<Arc<dyn ReadObserver>>,
}

impl ConfigFollower {
    /// Creates a follower that activates the configurations it reads in `active_config`.
    pub fn new(
        store: SharedStore,
        formats: Arc<dyn Formats>,
        active_config: Arc<ActiveConfig>,
    ) -> Self {
        Self {
            store,
            formats,
            active_config,
            reads: None,
        }
    }

    /// Tells `observer` of each full read.
    pub fn with_observer(self, observer: Arc<dyn ReadObserver>) -> Self {
        Self {
            reads: Some(observer),
            ..self
        }
    }

    /// Follows the store and never returns; a failed watch is retried with backoff.
    pub async fn run(self) {
        let mut backoff = Backoff::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
        loop {
            let started = Instant::now();
            let cause = self.read_and_watch(&mut backoff).await;
            if cause != StoreError::Compacted {
                log::debug!("config: the watch of the configuration ended, retrying: {cause}");
            }
            time::sleep(backoff.delay_since(started)).await;
        }
    }

    /// Reads the configuration, then watches it until an error.
    async fn read_and_watch(&self, backoff: &mut Backoff) -> StoreError {
        let key = self.formats.keys().config;
        let mut since = match self.read(&key).await {
            Ok(version) => version,
            Err(cause) => return cause,
        };
        backoff.reset();
        let mut changes = watch_with_timeout(&*self.store, &key, since);
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
        StoreError::Unknown("the watch stream ended".to_owned())
    }

    async fn read(&self, key: &str) -> Result<StoreVersion, StoreError> {
        let reads = self.reads.as_ref().map(|reads| (reads, reads.now()));
        let range = self.store.range(key, 1).await?;
        for entry in range.entries {
            self.activate(key, &entry);
        }
        if let Some((reads, sent_at)) = reads {
            reads.record_read(sent_at);
        }
        Ok(range.version)
    }

    fn apply(&self, key: &str, change: &Change) {
        if let Change::Put(entry) = change {
            self.activate(key, entry);
        }
    }

    fn activate(&self, key: &str, entry: &Entry) {
        if entry.key == key {
            activate_published_config(&*self.formats, &self.active_config, entry.value.clone());
        }
    }
}

/// Decodes a published configuration and activates it if its version is higher.
///
/// Returns whether it was activated; an undecodable configuration is logged.
pub fn activate_published_config(
    formats: &dyn Formats,
    active_config: &ActiveConfig,
    bytes: Bytes,
) -> bool {
    match formats.read_config(&bytes) {
        Ok(config) => {
            let version = config.version;
            let is_activated = active_config.activate_if_newer(RouteTable::new(config, bytes));
            if is_activated {
                log::info!(version = version.0; "config: a version is in force");
            }
            is_activated
        }
        Err(cause) => {
            log::warn!("config: a published configuration cannot be read: {cause}");
            false
        }
    }
}
