//! The decision at which software version a stream goes on that its caller resumes.

use {
    super::{
        ServiceVersions, StreamBatch, StreamId, VersionHistory,
        stream_table::{Progress, StreamTable},
    },
    crate::{
        discovery::RunnerEntry,
        store::StoreError,
        traffic::{ServiceId, SoftwareVersion},
    },
    futures::future::BoxFuture,
    std::{
        fmt,
        sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, timeout},
};

/// The longest wait for the streams that are recorded in the store.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the streams that nodes recorded in the store.
pub trait StreamSource: Send + Sync {
    /// Returns whether this node has reached the store within the last seconds. Its list of runners
    /// may still be older.
    fn is_current(&self) -> bool;

    /// Returns the recorded streams.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or does not respond in time.
    fn read(&self) -> BoxFuture<'_, Result<Vec<StreamBatch>, StoreError>>;
}

/// What a node's memory tells about the version at which a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Lookup {
    /// The stream began at this version.
    Known(SoftwareVersion),
    /// This node knows only this version, but its list of runners may be old.
    Presumed(SoftwareVersion),
    /// The stream may have begun at several versions; the store may tell at which.
    NotRecorded,
    /// The version cannot be known.
    Unknown,
}

#[derive(Debug, Default)]
struct State {
    history: VersionHistory,
    table: StreamTable,
    /// Whether versions may be stored that this node has not read yet.
    is_unread: bool,
}

impl State {
    fn look_up(
        &self,
        service: &ServiceId,
        id: Option<StreamId>,
        is_current: bool,
        now: Instant,
    ) -> Lookup {
        if let Some(found) = id.and_then(|id| self.table.find(id, service)) {
            return found.map_or(Lookup::Unknown, |found| Lookup::Known(found.clone()));
        }
        if self.is_unread || !is_current {
            return Lookup::Unknown;
        }
        match (self.history.possible(service, now).as_slice(), id) {
            ([only], Some(_)) => Lookup::Presumed((*only).clone()),
            ([only], None) => Lookup::Known((*only).clone()),
            ([_, ..], Some(_)) => Lookup::NotRecorded,
            _ => Lookup::Unknown,
        }
    }
}

/// The software versions in use, and those of the streams that began lately.
#[derive(Default)]
pub struct StreamVersions {
    state: Mutex<State>,
    source: OnceLock<Arc<dyn StreamSource>>,
    /// When the last read of the store began; locked during a read.
    last_read: tokio::sync::Mutex<Option<Instant>>,
}

impl fmt::Debug for StreamVersions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StreamVersions")
    }
}

impl StreamVersions {
    /// Reads streams that this node doesn't know from `source`, and tells no version that it
    /// doesn't know until the stored versions are set.
    pub fn follow_store(&self, source: Arc<dyn StreamSource>) {
        self.lock().is_unread = true;
        // A second source is ignored: a node has one store.
        let _ = self.source.set(source);
    }

    /// Replaces the listed runners.
    pub fn set_listed(&self, runners: &[RunnerEntry]) {
        self.lock().history.set_listed(runners, Instant::now());
    }

    /// Replaces the versions that are stored.
    pub fn set_stored(&self, stored: &[ServiceVersions]) {
        let mut state = self.lock();
        state.history.set_stored(stored, Instant::now());
        state.is_unread = false;
    }

    /// Returns the versions that are to be stored.
    pub fn to_store(&self) -> Vec<ServiceVersions> {
        self.lock().history.recent(Instant::now())
    }

    /// Records that a stream began at a software version of a service.
    pub fn record_begin(&self, id: StreamId, service: &ServiceId, software: &SoftwareVersion) {
        let now = Instant::now();
        let mut state = self.lock();
        state
            .table
            .record(id, service, software, Progress::Pending, now);
    }

    /// Records streams that a peer passed on, which this node is to store.
    pub fn record_from_peer(&self, batches: &[StreamBatch]) {
        self.record_all(batches, Progress::Pending);
    }

    /// Returns the streams that are to be passed on to the store: those of services with several
    /// versions.
    pub fn pending(&self) -> Vec<StreamBatch> {
        let now = Instant::now();
        let mut state = self.lock();
        state.table.expire(now);
        let State { history, table, .. } = &*state;
        table.pending(|service| history.is_mixed(service, now))
    }

    /// Records that streams were passed on.
    pub fn set_passed_on(&self, batches: &[StreamBatch]) {
        self.lock().table.set_passed_on(batches);
    }

    /// Makes the streams that were passed on pending again, as a node that took them is gone.
    pub fn set_all_pending(&self) {
        self.lock().table.set_all_pending();
    }

    /// Returns the software version at which a stream began that a caller resumes; `None` if it is
    /// not known.
    pub async fn find(&self, service: &ServiceId, id: Option<StreamId>) -> Option<SoftwareVersion> {
        let asked_at = Instant::now();
        let is_current = self.source.get().is_none_or(|source| source.is_current());
        let first = self.lock().look_up(service, id, is_current, asked_at);
        match first {
            Lookup::Known(software) => Some(software),
            Lookup::Unknown => None,
            Lookup::Presumed(_) | Lookup::NotRecorded => {
                let is_read = self.read_source(asked_at).await;
                let found = self.lock().look_up(service, id, is_current, Instant::now());
                match found {
                    Lookup::Known(software) => Some(software),
                    // Streams are recorded as long as a service has several versions.
                    Lookup::Presumed(software) => is_read.then_some(software),
                    Lookup::NotRecorded | Lookup::Unknown => None,
                }
            }
        }
    }

    /// Reads the recorded streams, unless a read that began later than `asked_at` is complete;
    /// returns whether they are known as of `asked_at`.
    async fn read_source(&self, asked_at: Instant) -> bool {
        let Some(source) = self.source.get() else {
            return true;
        };
        let mut last_read = self.last_read.lock().await;
        if last_read.is_some_and(|began_at| began_at > asked_at) {
            return true;
        }
        let began_at = Instant::now();
        match timeout(READ_TIMEOUT, source.read()).await {
            Ok(Ok(batches)) => {
                self.record_all(&batches, Progress::Read);
                *last_read = Some(began_at);
                return true;
            }
            Ok(Err(cause)) => log::debug!("streams: the recorded streams are not read: {cause}"),
            Err(_) => log::debug!("streams: the recorded streams are not read in time"),
        }
        false
    }

    fn record_all(&self, batches: &[StreamBatch], progress: Progress) {
        let now = Instant::now();
        let mut state = self.lock();
        for batch in batches {
            for id in &batch.ids {
                let (service, software) = (&batch.service, &batch.software);
                state.table.record(*id, service, software, progress, now);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
