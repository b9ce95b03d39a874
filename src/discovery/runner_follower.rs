//! Keeps a node's list of runners up to date with the platform's store.

use {
    super::{RunnerEntry, RunnerList, RunnerSnapshot, runner_changes::log_changes},
    crate::{
        dispatch::RunnerRegistry,
        membership::Backoff,
        node::Formats,
        store::{Change, SharedStore, StoreError, StoreHealth, StoreVersion, watch_with_timeout},
    },
    futures::StreamExt,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep_until},
    },
};

/// The pause after a batch of changes, so that further changes are applied together.
const BATCH_INTERVAL_MS: u64 = 800;

/// The time after the end of a store outage for which removed entries are kept.
///
/// The leases of working runners may expire during an outage; this time lets them register again.
const REMOVAL_GRACE_MS: u64 = 2_000;

/// The delay before the first retry of a failed store call.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(250);

/// The longest delay between retries of failed store calls.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);

/// The largest number of runner entries that is read from the store.
const RUNNER_ENTRIES_MAX: usize = 100_000;

/// The end of a watch: its error, and whether the store had responded to it before.
struct WatchEnd {
    responded: bool,
    cause: StoreError,
}

/// Copies the platform's list of runners to the runner registry of a node.
///
/// During a store outage the last known list stays in use until a peer provides a newer one.
pub struct RunnerFollower {
    store: SharedStore,
    health: Arc<StoreHealth>,
    formats: Arc<dyn Formats>,
    registry: Arc<RunnerRegistry>,
    prefix: String,
    list: RunnerList,
    /// The entries that were last passed to the registry.
    published: Vec<RunnerEntry>,
    peer_list: watch::Receiver<RunnerSnapshot>,
    /// Whether the current list was received from a peer.
    is_from_peer: bool,
    /// The store version of the current list.
    version: watch::Sender<StoreVersion>,
    /// The newest version of a history that the store has lost; lists of peers up to it may be of
    /// that history.
    lost_version: StoreVersion,
}

impl RunnerFollower {
    /// Creates a follower that also accepts newer lists of peers from `peer_list`.
    pub fn new(
        store: SharedStore,
        health: Arc<StoreHealth>,
        formats: Arc<dyn Formats>,
        registry: Arc<RunnerRegistry>,
        peer_list: watch::Receiver<RunnerSnapshot>,
    ) -> Self {
        Self {
            store,
            health,
            prefix: formats.keys().runners_prefix,
            formats,
            registry,
            list: RunnerList::default(),
            published: Vec::new(),
            peer_list,
            is_from_peer: false,
            version: watch::Sender::default(),
            lost_version: StoreVersion::default(),
        }
    }

    /// Returns a receiver of the current list's store version; 0 before the first list.
    pub fn version(&self) -> watch::Receiver<StoreVersion> {
        self.version.subscribe()
    }

    /// Follows the store and never returns; a failed watch is retried with backoff.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
        loop {
            let started = Instant::now();
            let ended = self.read_and_watch().await;
            log::debug!(
                "discovery: the watch of the runner list ended, it is read again: {}",
                ended.cause
            );
            if ended.responded {
                backoff.reset();
            }
            self.wait_before_retry(backoff.delay_since(started)).await;
        }
    }

    /// Reads the whole list, then watches it until an error.
    async fn read_and_watch(&mut self) -> WatchEnd {
        match self.read_list().await {
            Ok(since) => self.watch(since).await,
            Err(cause) => WatchEnd {
                responded: false,
                cause,
            },
        }
    }

    async fn read_list(&mut self) -> Result<StoreVersion, StoreError> {
        let range = self.store.range(&self.prefix, RUNNER_ENTRIES_MAX).await?;
        let since = range.version;
        let mut read = Vec::new();
        for entry in range.entries {
            if let Some(runner) = self.decode_entry(&entry.key, &entry.value) {
                read.push((entry.key, runner));
            }
        }
        self.list.replace(read, self.outage_grace_end());
        self.is_from_peer = false;
        let known = *self.version.borrow();
        if since < known {
            log::warn!(version = since.0, known = known.0; "discovery: the store went back to an older copy.");
            self.lost_version = self.lost_version.max(known);
        }
        self.publish(since);
        Ok(since)
    }

    /// Applies the changes that a watch reports until the watch fails or a peer has a newer list.
    async fn watch(&mut self, since: StoreVersion) -> WatchEnd {
        let (store, prefix) = (self.store.clone(), self.prefix.clone());
        let mut watch = watch_with_timeout(&*store, &prefix, since);
        let mut responded = false;
        loop {
            let changes = tokio::select! {
                result = watch.next() => match result {
                    Some(Ok(changes)) => changes,
                    Some(Err(cause)) => return WatchEnd { responded, cause },
                    None => {
                        let cause = StoreError::Unknown("the watch stream ended".to_owned());
                        return WatchEnd { responded, cause };
                    }
                },
                Ok(()) = self.peer_list.changed() => {
                    if self.apply_peer_list() {
                        // The next changes of this watch may be older than the peer's list.
                        let cause = StoreError::Unknown("a peer has a newer list".to_owned());
                        return WatchEnd { responded, cause };
                    }
                    continue;
                }
                () = sleep_until_if_some(self.list.grace_end()) => {
                    self.end_grace();
                    continue;
                }
            };
            responded = true;
            if changes.changes.is_empty() {
                self.version.send_replace(changes.version);
                continue;
            }
            for change in changes.changes {
                self.apply(change);
            }
            self.publish(changes.version);
            self.wait_for_batch().await;
        }
    }

    /// Waits before the next attempt to read the list; applies newer lists of peers meanwhile.
    async fn wait_before_retry(&mut self, delay: Duration) {
        let until = Instant::now() + delay;
        loop {
            tokio::select! {
                () = sleep_until(until) => return,
                () = sleep_until_if_some(self.list.grace_end()) => self.end_grace(),
                Ok(()) = self.peer_list.changed() => {
                    self.apply_peer_list();
                },
            }
        }
    }

    /// Waits for `BATCH_INTERVAL_MS`, so that further changes are applied in one batch.
    async fn wait_for_batch(&mut self) {
        let until = Instant::now() + Duration::from_millis(BATCH_INTERVAL_MS);
        if let Some(grace_end) = self
            .list
            .grace_end()
            .filter(|grace_end| *grace_end <= until)
        {
            sleep_until(grace_end).await;
            self.end_grace();
        }
        sleep_until(until).await;
    }

    /// Applies a peer's list if it is newer than the current one; returns whether it was applied.
    ///
    /// An older list could bring back a runner that is known to be gone. The peer may have read its
    /// list just after an outage, so entries that it lacks are removed only after a grace period.
    fn apply_peer_list(&mut self) -> bool {
        let list = self.peer_list.borrow_and_update().clone();
        let known = *self.version.borrow();
        if !list.is_newer_than(known.max(self.lost_version)) {
            return false;
        }
        let keyed = list.runners.into_iter().map(|entry| {
            let key = format!("{}{}", self.prefix, entry.key.id);
            (key, entry)
        });
        let grace_end = Instant::now() + Duration::from_millis(REMOVAL_GRACE_MS);
        self.list.replace(keyed.collect(), Some(grace_end));
        self.is_from_peer = true;
        self.publish(StoreVersion(list.store_version));
        true
    }

    /// Removes the entries whose grace period is over.
    ///
    /// Extends the grace period instead if another outage began and the list is not a peer's.
    fn end_grace(&mut self) {
        match self.outage_grace_end().filter(|_| !self.is_from_peer) {
            Some(until) => self.list.extend_grace(until),
            None => {
                self.list.drop_missing();
                self.update_registry();
            }
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Put(entry) => {
                let runner = self.decode_entry(&entry.key, &entry.value);
                self.list.put(&entry.key, runner);
            }
            Change::Delete { key, .. } => self.list.remove(&key, self.outage_grace_end()),
        }
    }

    /// Returns the end of the grace period of a current or recent outage; `None` without one.
    fn outage_grace_end(&self) -> Option<Instant> {
        let until = self.health.outage_end()? + Duration::from_millis(REMOVAL_GRACE_MS);
        (Instant::now() < until).then_some(until)
    }

    fn decode_entry(&self, key: &str, value: &[u8]) -> Option<RunnerEntry> {
        let read = self.formats.read_runner(key, value);
        read.inspect_err(|cause| {
            log::debug!("discovery: the entry at {key} cannot be decoded: {cause}");
        })
        .ok()
    }

    /// Passes the list to the registry, then announces `version` as its store version.
    fn publish(&mut self, version: StoreVersion) {
        self.update_registry();
        self.version.send_replace(version);
    }

    fn update_registry(&mut self) {
        let entries = self.list.entries();
        log_changes(&self.published, &entries);
        self.registry.set_runners(entries.clone());
        self.published = entries;
    }
}

async fn sleep_until_if_some(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => futures::future::pending().await,
    }
}
