//! Follows the platform's list of runners.

use {
    super::{RunnerEntry, RunnerList},
    crate::{
        dispatch::RunnerBoard,
        node::Formats,
        store::{Change, SharedStore, StoreError, StoreHealth, StoreVersion, live_watch},
    },
    futures::StreamExt,
    rand::RngExt,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep_until},
    },
};

/// The pause between two answers of a watch, in which changes gather.
const PAUSE_MS: u64 = 800;

/// How long an entry that vanished in an outage stays after the store's return.
const MISSING_GRACE_MS: u64 = 2_000;

const BACKOFF_MIN_MS: u64 = 250;
const BACKOFF_MAX_MS: u64 = 1_000;
const ENTRIES_MAX: usize = 100_000;

/// How a watch ended.
struct WatchEnd {
    answered: bool,
    cause: StoreError,
}

/// Keeps a board's list of runners equal to the platform's.
///
/// While the store does not answer, what is known stays; until it first did, the list of a peer
/// is taken.
pub struct RunnerFollower {
    store: SharedStore,
    health: Arc<StoreHealth>,
    formats: Arc<dyn Formats>,
    board: Arc<RunnerBoard>,
    prefix: String,
    list: RunnerList,
    peer_list: watch::Receiver<Vec<RunnerEntry>>,
    is_read: watch::Sender<bool>,
}

impl RunnerFollower {
    /// Makes a follower that takes lists of a peer from `peer_list`.
    pub fn new(
        store: SharedStore,
        health: Arc<StoreHealth>,
        formats: Arc<dyn Formats>,
        board: Arc<RunnerBoard>,
        peer_list: watch::Receiver<Vec<RunnerEntry>>,
    ) -> Self {
        Self {
            store,
            health,
            prefix: formats.keys().runners_prefix,
            formats,
            board,
            list: RunnerList::default(),
            peer_list,
            is_read: watch::Sender::new(false),
        }
    }

    /// Returns whether the list was read from the store.
    pub fn is_read(&self) -> watch::Receiver<bool> {
        self.is_read.subscribe()
    }

    /// Follows the store for ever.
    pub async fn run(mut self) {
        let mut backoff_ms = BACKOFF_MIN_MS;
        loop {
            let ended = self.follow().await;
            log::debug!(
                "discovery: reads the list of runners again: {}",
                ended.cause
            );
            if ended.answered {
                backoff_ms = BACKOFF_MIN_MS;
            }
            self.pause_outside(jittered(backoff_ms)).await;
            backoff_ms = (backoff_ms * 2).min(BACKOFF_MAX_MS);
        }
    }

    /// Reads the list and its changes until an error.
    async fn follow(&mut self) -> WatchEnd {
        match self.read_whole().await {
            Ok(since) => self.watch(since).await,
            Err(cause) => WatchEnd {
                answered: false,
                cause,
            },
        }
    }

    async fn read_whole(&mut self) -> Result<StoreVersion, StoreError> {
        let range = self.store.range(&self.prefix, ENTRIES_MAX).await?;
        let since = range.version;
        let mut read = Vec::new();
        for entry in range.entries {
            if let Some(runner) = self.read_entry(&entry.key, &entry.value) {
                read.push((entry.key, runner));
            }
        }
        self.list.replace(read, self.grace_until());
        self.is_read.send_replace(true);
        self.publish();
        Ok(since)
    }

    /// Works in changes until the watch fails.
    async fn watch(&mut self, since: StoreVersion) -> WatchEnd {
        let (store, prefix) = (self.store.clone(), self.prefix.clone());
        let mut watch = live_watch(&*store, &prefix, since);
        let mut answered = false;
        loop {
            let changes = tokio::select! {
                answer = watch.next() => match answer {
                    Some(Ok(changes)) => changes.changes,
                    Some(Err(cause)) => return WatchEnd { answered, cause },
                    None => {
                        let cause = StoreError::Unknown("the watch ended".to_owned());
                        return WatchEnd { answered, cause };
                    }
                },
                () = wait_until(self.list.missing_until()) => {
                    self.drop_missing();
                    continue;
                }
            };
            answered = true;
            if changes.is_empty() {
                continue;
            }
            for change in changes {
                self.apply(change);
            }
            self.publish();
            self.pause(PAUSE_MS).await;
        }
    }

    /// Pauses while no watch runs; until the store was read, lists of a peer are taken meanwhile.
    async fn pause_outside(&mut self, ms: u64) {
        if *self.is_read.borrow() {
            return self.pause(ms).await;
        }
        let until = Instant::now() + Duration::from_millis(ms);
        loop {
            tokio::select! {
                () = sleep_until(until) => return,
                Ok(()) = self.peer_list.changed() => self.take_peer_list(),
            }
        }
    }

    async fn pause(&mut self, ms: u64) {
        let until = Instant::now() + Duration::from_millis(ms);
        if let Some(missing_until) = self.list.missing_until().filter(|m| *m <= until) {
            sleep_until(missing_until).await;
            self.drop_missing();
        }
        sleep_until(until).await;
    }

    /// Takes a peer's list; what the store then lacks has the grace of an outage.
    fn take_peer_list(&mut self) {
        let entries = self.peer_list.borrow_and_update().clone();
        let keyed = entries.into_iter().map(|entry| {
            let key = format!("{}{}", self.prefix, entry.key.id);
            (key, entry)
        });
        self.list.replace(keyed.collect(), None);
        self.publish();
    }

    /// Drops the entries that vanished in an outage, unless another one began meanwhile.
    fn drop_missing(&mut self) {
        match self.grace_until() {
            Some(until) => self.list.keep_missing_until(until),
            None => {
                self.list.drop_missing();
                self.publish();
            }
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Put(entry) => {
                let runner = self.read_entry(&entry.key, &entry.value);
                self.list.put(&entry.key, runner);
            }
            Change::Delete { key, .. } => self.list.remove(&key, self.grace_until()),
        }
    }

    /// Returns until when an entry that is missing may be back after an outage.
    fn grace_until(&self) -> Option<Instant> {
        let until = self.health.outage_end()? + Duration::from_millis(MISSING_GRACE_MS);
        (Instant::now() < until).then_some(until)
    }

    fn read_entry(&self, key: &str, value: &[u8]) -> Option<RunnerEntry> {
        let read = self.formats.read_runner(key, value);
        read.inspect_err(|cause| log::debug!("discovery: {key}: {cause}"))
            .ok()
    }

    fn publish(&self) {
        self.board.set_runners(self.list.entries());
    }
}

async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => futures::future::pending().await,
    }
}

fn jittered(ms: u64) -> u64 {
    rand::rng().random_range(ms / 2..=ms)
}
