//! Buffers the newest changes below the watched prefixes for peers that follow this process.

use {
    super::{Change, Changes, StoreVersion},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::watch,
};

/// The largest number of changes kept for each prefix.
const CHANGES_MAX: usize = 512;

/// The largest total size of values kept for each prefix, in bytes.
///
/// A change larger than this is never served to peers; they read it from the store.
const VALUES_MAX_BYTES: usize = 128 << 10;

/// The buffered changes of one prefix.
#[derive(Debug)]
struct PrefixLog {
    prefix: String,
    /// Whether a peer has requested changes; until then none are buffered.
    is_wanted: bool,
    /// The version after which the buffered changes are complete.
    from: StoreVersion,
    changes: VecDeque<Change>,
    /// The version up to which the watch has reported changes.
    version: watch::Sender<StoreVersion>,
}

impl PrefixLog {
    fn new(prefix: &str, since: StoreVersion) -> Self {
        Self {
            prefix: prefix.to_owned(),
            is_wanted: false,
            from: since,
            changes: VecDeque::new(),
            version: watch::Sender::new(since),
        }
    }

    fn known(&self) -> StoreVersion {
        *self.version.borrow()
    }

    /// Clears the buffer if changes between its version and `since` were not reported.
    fn begin(&mut self, since: StoreVersion) {
        if since > self.known() {
            self.from = since;
            self.changes.clear();
            self.version.send_replace(since);
        }
    }

    fn add(&mut self, since: StoreVersion, batch: &Changes) {
        if !self.is_wanted {
            return self.begin(since.max(batch.version));
        }
        self.begin(since);
        let known = self.known();
        let news = batch.changes.iter();
        let news = news.filter(|change| change.version() > known);
        self.changes.extend(news.cloned());
        while self.changes.len() > CHANGES_MAX || self.values_bytes() > VALUES_MAX_BYTES {
            self.drop_oldest();
        }
        if batch.version > known {
            self.version.send_replace(batch.version);
        }
    }

    /// Starts buffering and returns a receiver of the version.
    ///
    /// Returns `None` if changes after the version `after` are no longer buffered.
    fn want(&mut self, after: StoreVersion) -> Option<watch::Receiver<StoreVersion>> {
        self.is_wanted = true;
        (after >= self.from).then(|| self.version.subscribe())
    }

    fn values_bytes(&self) -> usize {
        let puts = self.changes.iter().map(|change| match change {
            Change::Put(entry) => entry.value.len(),
            Change::Delete { .. } => 0,
        });
        puts.sum()
    }

    /// Drops the oldest change and the other changes of the same write.
    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.changes.front().map(Change::version) {
            self.from = oldest;
            self.changes.retain(|change| change.version() > oldest);
        }
    }

    /// Returns the changes after a version; `None` if some of them are no longer buffered.
    fn after(&self, after: StoreVersion) -> Option<Changes> {
        if after < self.from {
            return None;
        }
        let newer = self.changes.iter();
        let newer = newer.filter(|change| change.version() > after);
        Some(Changes {
            changes: newer.cloned().collect(),
            version: self.known().max(after),
        })
    }
}

/// The newest changes below each prefix that this process watches.
#[derive(Debug, Default)]
pub struct ChangeLogs(Mutex<Vec<Arc<Mutex<PrefixLog>>>>);

impl ChangeLogs {
    /// Starts the log of a prefix that is watched from just after `since`.
    pub(super) fn begin(&self, prefix: &str, since: StoreVersion) {
        let log = self.find(prefix);
        match log {
            Some(log) => lock(&log).begin(since),
            None => {
                let log = PrefixLog::new(prefix, since);
                lock(&self.0).push(Arc::new(Mutex::new(log)));
            }
        }
    }

    /// Appends a batch that a watch from just after `since` reported.
    pub(super) fn add(&self, prefix: &str, since: StoreVersion, batch: &Changes) {
        if let Some(log) = self.find(prefix) {
            lock(&log).add(since, batch);
        }
    }

    /// Waits for changes below a prefix after a version and returns them.
    ///
    /// Returns `None` if the prefix is not watched or some of the changes are no longer buffered.
    pub async fn changes_after(&self, prefix: &str, after: StoreVersion) -> Option<Changes> {
        let log = self.find(prefix)?;
        let mut version = lock(&log).want(after)?;
        version.wait_for(|known| *known > after).await.ok()?;
        lock(&log).after(after)
    }

    fn find(&self, prefix: &str) -> Option<Arc<Mutex<PrefixLog>>> {
        let logs = lock(&self.0);
        let found = logs.iter().find(|log| lock(log).prefix == prefix);
        found.cloned()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
