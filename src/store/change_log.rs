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
    is_followed: bool,
    /// The version after which the buffered changes are complete.
    complete_after: StoreVersion,
    changes: VecDeque<Change>,
    /// The newest version of a history that the store has lost.
    lost_version: StoreVersion,
    /// The version up to which the watch has reported changes.
    version: watch::Sender<StoreVersion>,
}

impl PrefixLog {
    fn new(prefix: &str, since: StoreVersion) -> Self {
        Self {
            prefix: prefix.to_owned(),
            is_followed: false,
            complete_after: since,
            changes: VecDeque::new(),
            lost_version: StoreVersion::default(),
            version: watch::Sender::new(since),
        }
    }

    fn current_version(&self) -> StoreVersion {
        *self.version.borrow()
    }

    /// Continues from the version `since`, which is lower than the known one if the store went back
    /// to an older copy of itself.
    fn restart(&mut self, since: StoreVersion) {
        let current = self.current_version();
        if since < current {
            self.lost_version = self.lost_version.max(current);
            self.complete_after = since;
            self.changes.clear();
            self.version.send_replace(since);
        }
        self.skip_to(since);
    }

    /// Advances to the version `since` and clears the buffer if the log ends before it.
    ///
    /// The changes between the two versions were not reported, so the log would have a gap.
    fn skip_to(&mut self, since: StoreVersion) {
        if since > self.current_version() {
            self.complete_after = since;
            self.changes.clear();
            self.version.send_replace(since);
        }
    }

    fn append(&mut self, since: StoreVersion, batch: &Changes) {
        if !self.is_followed {
            return self.skip_to(since.max(batch.version));
        }
        self.skip_to(since);
        let current = self.current_version();
        let newer = batch.changes.iter();
        let newer = newer.filter(|change| change.version() > current);
        self.changes.extend(newer.cloned());
        while self.changes.len() > CHANGES_MAX || self.values_bytes() > VALUES_MAX_BYTES {
            self.drop_oldest();
        }
        if batch.version > current {
            self.version.send_replace(batch.version);
        }
    }

    /// Starts buffering and returns a receiver of the version.
    ///
    /// Returns `None` if changes after the version `after` are no longer buffered, or if it may be a
    /// version of a history that the store has lost.
    fn follow(&mut self, after: StoreVersion) -> Option<watch::Receiver<StoreVersion>> {
        self.is_followed = true;
        let may_be_lost = after > self.current_version() && after <= self.lost_version;
        (after >= self.complete_after && !may_be_lost).then(|| self.version.subscribe())
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
            self.complete_after = oldest;
            self.changes.retain(|change| change.version() > oldest);
        }
    }

    /// Returns the changes after a version; `None` if some of them are no longer buffered.
    fn changes_after(&self, after: StoreVersion) -> Option<Changes> {
        if after < self.complete_after {
            return None;
        }
        let newer = self.changes.iter();
        let newer = newer.filter(|change| change.version() > after);
        Some(Changes {
            changes: newer.cloned().collect(),
            version: self.current_version().max(after),
        })
    }
}

/// The newest changes below each prefix that this process watches.
#[derive(Debug, Default)]
pub struct ChangeLogs(Mutex<Vec<Arc<Mutex<PrefixLog>>>>);

impl ChangeLogs {
    /// Starts the log of a prefix that is watched from just after `since`.
    pub(super) fn start(&self, prefix: &str, since: StoreVersion) {
        let log = self.find(prefix);
        match log {
            Some(log) => lock(&log).restart(since),
            None => {
                let log = PrefixLog::new(prefix, since);
                lock(&self.0).push(Arc::new(Mutex::new(log)));
            }
        }
    }

    /// Appends a batch that a watch from just after `since` reported.
    pub(super) fn append(&self, prefix: &str, since: StoreVersion, batch: &Changes) {
        if let Some(log) = self.find(prefix) {
            lock(&log).append(since, batch);
        }
    }

    /// Waits for changes below a prefix after a version and returns them.
    ///
    /// Returns `None` if the prefix is not watched or some of the changes are no longer buffered.
    pub async fn changes_after(&self, prefix: &str, after: StoreVersion) -> Option<Changes> {
        let log = self.find(prefix)?;
        let mut version = lock(&log).follow(after)?;
        version.wait_for(|known| *known > after).await.ok()?;
        lock(&log).changes_after(after)
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
