//! Follows the platform's list of runners.

use {
    super::{ListedRunners, RunnerEntry, RunnerList, list_changes::log_changes},
    crate::{
        dispatch::RunnerRegistry,
        membership::Backoff,
        node::Formats,
        store::{Change, SharedStore, StoreError, StoreHealth, StoreVersion, live_watch},
    },
    futures::StreamExt,
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

/// The first pause after a failed call.
const BACKOFF_FIRST: Duration = Duration::from_millis(250);

/// The longest pause after failed calls.
const BACKOFF_LONGEST: Duration = Duration::from_secs(1);

const ENTRIES_MAX: usize = 100_000;

/// How a watch ended.
struct WatchEnd {
    answered: bool,
    cause: StoreError,
}

/// Keeps a board's list of runners equal to the platform's.
///
/// While the store does not answer, what is known stays, unless a peer has a newer list.
pub struct RunnerFollower {
    store: SharedStore,
    health: Arc<StoreHealth>,
    formats: Arc<dyn Formats>,
    board: Arc<RunnerRegistry>,
    prefix: String,
    list: RunnerList,
    /// What the board shows.
    shown: Vec<RunnerEntry>,
    peer_list: watch::Receiver<ListedRunners>,
    /// Whether the list is a peer's.
    is_from_peer: bool,
    /// The version of the store up to which the list is known.
    version: watch::Sender<StoreVersion>,
}

impl RunnerFollower {
    /// Makes a follower that takes lists of a peer from `peer_list`.
    pub fn new(
        store: SharedStore,
        health: Arc<StoreHealth>,
        formats: Arc<dyn Formats>,
        board: Arc<RunnerRegistry>,
        peer_list: watch::Receiver<ListedRunners>,
    ) -> Self {
        Self {
            store,
            health,
            prefix: formats.keys().runners_prefix,
            formats,
            board,
            list: RunnerList::default(),
            shown: Vec::new(),
            peer_list,
            is_from_peer: false,
            version: watch::Sender::default(),
        }
    }

    /// Returns the version of the store up to which the list is known; 0 before there is one.
    pub fn version(&self) -> watch::Receiver<StoreVersion> {
        self.version.subscribe()
    }

    /// Follows the store for ever.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new(BACKOFF_FIRST, BACKOFF_LONGEST);
        loop {
            let started = Instant::now();
            let ended = self.follow().await;
            log::debug!(
                "discovery: reads the list of runners again: {}",
                ended.cause
            );
            if ended.answered {
                backoff.reset();
            }
            self.pause_outside(backoff.delay_since(started)).await;
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
        self.is_from_peer = false;
        self.publish(since);
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
                    Some(Ok(changes)) => changes,
                    Some(Err(cause)) => return WatchEnd { answered, cause },
                    None => {
                        let cause = StoreError::Unknown("the watch ended".to_owned());
                        return WatchEnd { answered, cause };
                    }
                },
                Ok(()) = self.peer_list.changed() => {
                    if self.take_peer_list() {
                        // What the watch would tell next may be older.
                        let cause = StoreError::Unknown("a peer knows more".to_owned());
                        return WatchEnd { answered, cause };
                    }
                    continue;
                }
                () = wait_until(self.list.missing_until()) => {
                    self.drop_missing();
                    continue;
                }
            };
            answered = true;
            if changes.changes.is_empty() {
                self.version.send_replace(changes.version);
                continue;
            }
            for change in changes.changes {
                self.apply(change);
            }
            self.publish(changes.version);
            self.pause().await;
        }
    }

    /// Pauses while no watch runs; newer lists of peers are taken meanwhile.
    async fn pause_outside(&mut self, pause: Duration) {
        let until = Instant::now() + pause;
        loop {
            tokio::select! {
                () = sleep_until(until) => return,
                () = wait_until(self.list.missing_until()) => self.drop_missing(),
                Ok(()) = self.peer_list.changed() => {
                    self.take_peer_list();
                },
            }
        }
    }

    /// Pauses while changes gather.
    async fn pause(&mut self) {
        let until = Instant::now() + Duration::from_millis(PAUSE_MS);
        if let Some(missing_until) = self.list.missing_until().filter(|m| *m <= until) {
            sleep_until(missing_until).await;
            self.drop_missing();
        }
        sleep_until(until).await;
    }

    /// Takes a peer's list if it is newer, so that no runner that is known to be gone comes back.
    ///
    /// The peer may have read it just after an outage, so that what it lacks goes later only.
    ///
    /// Returns whether it was taken.
    fn take_peer_list(&mut self) -> bool {
        let list = self.peer_list.borrow_and_update().clone();
        if !list.is_newer_than(*self.version.borrow()) {
            return false;
        }
        let keyed = list.runners.into_iter().map(|entry| {
            let key = format!("{}{}", self.prefix, entry.key.id);
            (key, entry)
        });
        let grace_until = Instant::now() + Duration::from_millis(MISSING_GRACE_MS);
        self.list.replace(keyed.collect(), Some(grace_until));
        self.is_from_peer = true;
        self.publish(StoreVersion(list.store_version));
        true
    }

    /// Drops the entries that vanished in an outage, unless another one began meanwhile.
    fn drop_missing(&mut self) {
        match self.grace_until().filter(|_| !self.is_from_peer) {
            Some(until) => self.list.keep_missing_until(until),
            None => {
                self.list.drop_missing();
                self.show();
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

    /// Hands the list to the board, which then shows at least `version` of the store.
    fn publish(&mut self, version: StoreVersion) {
        self.show();
        self.version.send_replace(version);
    }

    fn show(&mut self) {
        let entries = self.list.entries();
        log_changes(&self.shown, &entries);
        self.board.set_runners(entries.clone());
        self.shown = entries;
    }
}

async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => futures::future::pending().await,
    }
}
