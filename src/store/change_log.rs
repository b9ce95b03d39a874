//! The newest changes below the prefixes that a process watches, for peers that follow it.

use {
    super::{Change, Changes, StoreVersion},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::watch,
};

/// The most changes that are kept of a prefix.
const CHANGES_MAX: usize = 512;

/// The most bytes of values that are kept of a prefix; larger changes come from the store alone.
const VALUES_MAX_BYTES: usize = 128 << 10;

/// The changes of one prefix.
#[derive(Debug)]
struct PrefixLog {
    prefix: String,
    /// Whether a peer ever asked; nothing is kept before.
    is_wanted: bool,
    /// All changes after this version are kept.
    from: StoreVersion,
    changes: VecDeque<Change>,
    /// The version up to which the changes are known.
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

    /// Begins anew where what lies between is not known.
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

    /// Keeps changes from now on; returns what tells of them if all after a version are kept.
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

    /// Drops the oldest change, and those of the same write.
    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.changes.front().map(Change::version) {
            self.from = oldest;
            self.changes.retain(|change| change.version() > oldest);
        }
    }

    /// Returns what is known after a version; `None` if part of it is no longer kept.
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

/// The newest changes below each prefix that a process watches.
#[derive(Debug, Default)]
pub struct ChangeLogs(Mutex<Vec<Arc<Mutex<PrefixLog>>>>);

impl ChangeLogs {
    /// Notes that a prefix is watched from just after a version.
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

    /// Notes what a watch from just after `since` reported.
    pub(super) fn add(&self, prefix: &str, since: StoreVersion, batch: &Changes) {
        if let Some(log) = self.find(prefix) {
            lock(&log).add(since, batch);
        }
    }

    /// Waits until more than a version is known, and returns what came after it.
    ///
    /// Returns `None` if the prefix is not watched or part of the changes is no longer kept.
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
