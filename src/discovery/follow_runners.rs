//! Follows the platform's list of runners.

use {
    super::{RunnerEntry, RunnerList},
    crate::{
        dispatch::RunnerBoard,
        node::Formats,
        store::{Change, SharedStore, StoreError, StoreVersion},
    },
    futures::StreamExt,
    rand::RngExt,
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, sleep_until},
};

/// The pause between two answers of a watch, in which changes gather.
const PAUSE_MS: u64 = 800;

/// How long an entry that vanished in an outage stays after the store's return.
const MISSING_GRACE_MS: u64 = 2_000;

const BACKOFF_MIN_MS: u64 = 250;
const BACKOFF_MAX_MS: u64 = 1_000;
const ENTRIES_MAX: usize = 100_000;

/// Keeps a board's list of runners equal to the platform's, and never ends.
///
/// While the store does not answer, what is known stays.
pub async fn follow_runners(
    store: SharedStore,
    formats: Arc<dyn Formats>,
    board: Arc<RunnerBoard>,
) {
    let prefix = formats.keys().runners_prefix;
    let mut follower = Follower {
        store,
        formats,
        board,
        prefix,
        list: RunnerList::default(),
    };
    let mut outage = false;
    let mut backoff_ms = BACKOFF_MIN_MS;
    loop {
        let ended = match follower.read_whole(outage).await {
            Ok(since) => {
                outage = false;
                follower.watch(since).await
            }
            Err(cause) => {
                outage = true;
                WatchEnd {
                    answered: false,
                    cause,
                }
            }
        };
        log::debug!(
            "discovery: reads the list of runners again: {}",
            ended.cause
        );
        if ended.answered {
            backoff_ms = BACKOFF_MIN_MS;
        }
        sleep(Duration::from_millis(jittered(backoff_ms))).await;
        backoff_ms = (backoff_ms * 2).min(BACKOFF_MAX_MS);
    }
}

/// How a watch ended.
struct WatchEnd {
    answered: bool,
    cause: StoreError,
}

struct Follower {
    store: SharedStore,
    formats: Arc<dyn Formats>,
    board: Arc<RunnerBoard>,
    prefix: String,
    list: RunnerList,
}

impl Follower {
    async fn read_whole(&mut self, after_outage: bool) -> Result<StoreVersion, StoreError> {
        let range = self.store.range(&self.prefix, ENTRIES_MAX).await?;
        let since = range.version;
        let mut read = Vec::new();
        for entry in range.entries {
            if let Some(runner) = self.read_entry(&entry.key, &entry.value) {
                read.push((entry.key, runner));
            }
        }
        let grace = Duration::from_millis(MISSING_GRACE_MS);
        let grace_until = after_outage.then(|| Instant::now() + grace);
        self.list.replace(read, grace_until);
        self.publish();
        Ok(since)
    }

    /// Works in changes until the watch fails.
    async fn watch(&mut self, since: StoreVersion) -> WatchEnd {
        let (store, prefix) = (self.store.clone(), self.prefix.clone());
        let mut watch = store.watch(&prefix, since);
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
                () = self.wait_for_missing() => {
                    self.list.drop_missing();
                    self.publish();
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
            self.pause().await;
        }
    }

    async fn wait_for_missing(&self) {
        match self.list.missing_until() {
            Some(until) => sleep_until(until).await,
            None => futures::future::pending().await,
        }
    }

    async fn pause(&mut self) {
        let until = Instant::now() + Duration::from_millis(PAUSE_MS);
        if let Some(missing_until) = self.list.missing_until().filter(|m| *m <= until) {
            sleep_until(missing_until).await;
            self.list.drop_missing();
            self.publish();
        }
        sleep_until(until).await;
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Put(entry) => {
                let runner = self.read_entry(&entry.key, &entry.value);
                self.list.put(&entry.key, runner);
            }
            Change::Delete { key, .. } => self.list.put(&key, None),
        }
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

fn jittered(ms: u64) -> u64 {
    rand::rng().random_range(ms / 2..=ms)
}
