//! A key-value service in memory, for tests in one process.

use {
    super::{
        CallCounts, CallKind, KvFaults, KvState,
        counts::CallCounters,
        faults::CallFate,
        watch::{WatchPosition, watch_stream},
    },
    crate::store::{
        Changes, Lease, LeaseId, Op, Range, Store, StoreError, StoreVersion, Txn, TxnReply,
        prefix_end,
    },
    futures::{
        future::{BoxFuture, FutureExt},
        stream::BoxStream,
    },
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// How long a client waits for an answer that never comes, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 2_000;

/// The data that all links share.
#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<KvState>,
    started: Instant,
    counters: CallCounters,
    /// The number of restores; a watch ends when it rises.
    pub(super) restores: watch::Sender<u64>,
    /// Whether a watch from a version above the newest one fails.
    pub(super) refuses_future_watches: AtomicBool,
    /// Notified of each change.
    pub(super) changed: watch::Sender<()>,
}

/// A key-value service in memory on the runtime's clock.
///
/// Clones share the data and the fault switches; [`MemoryStore::link`] shares the data only.
#[derive(Debug, Clone)]
pub struct MemoryStore {
    pub(super) shared: Arc<Shared>,
    pub(super) faults: Arc<Mutex<KvFaults>>,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryStore {
    /// Makes an empty service.
    pub fn new() -> Self {
        let shared = Shared {
            state: Mutex::default(),
            started: Instant::now(),
            counters: CallCounters::default(),
            restores: watch::Sender::new(0),
            refuses_future_watches: AtomicBool::new(false),
            changed: watch::Sender::new(()),
        };
        Self {
            shared: Arc::new(shared),
            faults: Arc::default(),
        }
    }

    /// Returns a second way to the same data, with fault switches of its own.
    pub fn link(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            faults: Arc::default(),
        }
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: KvFaults) {
        *lock(&self.faults) = faults;
        self.shared.changed.send_replace(());
    }

    /// Returns the fault switches as they stand.
    pub fn faults(&self) -> KvFaults {
        *lock(&self.faults)
    }

    /// Returns how many calls of each kind arrived over all links.
    pub fn counts(&self) -> CallCounts {
        self.shared.counters.read()
    }

    /// Returns a copy of the whole state.
    pub fn copy_state(&self) -> KvState {
        self.state().clone()
    }

    /// Goes back to an older copy of the state; open watches end.
    pub fn restore(&self, state: KvState) {
        *self.state() = state;
        self.shared.restores.send_modify(|count| *count += 1);
    }

    /// Lets watches from a version above the newest one fail as compacted, in place of waiting.
    pub fn refuse_future_watches(&self) {
        let refuses = &self.shared.refuses_future_watches;
        refuses.store(true, Ordering::Relaxed);
    }

    /// Returns the state, with the leases that ended by now removed.
    pub(super) fn state(&self) -> MutexGuard<'_, KvState> {
        let mut state = lock(&self.shared.state);
        let before = state.version();
        state.expire_leases(self.now_ms());
        if state.version() != before {
            self.shared.changed.send_replace(());
        }
        state
    }

    /// Returns the milliseconds since the service was made.
    pub(super) fn now_ms(&self) -> u64 {
        self.shared.started.elapsed().as_millis() as u64
    }

    /// Watches the keys from `start` up to and without `end`.
    pub(super) fn watch_between(
        &self,
        start: &str,
        end: &str,
        since: StoreVersion,
    ) -> BoxStream<'static, Result<Changes, StoreError>> {
        self.shared.counters.count(CallKind::Watch);
        let position = WatchPosition {
            start: start.to_owned(),
            end: end.to_owned(),
            since,
        };
        watch_stream(self.clone(), position)
    }

    /// Runs one call under the fault switches.
    async fn call<T>(
        &self,
        kind: CallKind,
        writes: bool,
        run: impl FnOnce(&mut KvState, u64) -> Result<T, StoreError> + Send,
    ) -> Result<T, StoreError> {
        let slow_ms = self.faults().slow_ms;
        if slow_ms > 0 {
            sleep(Duration::from_millis(slow_ms)).await;
        }
        let fate = lock(&self.faults).take_fate(writes);
        if fate == CallFate::Refused {
            return Err(StoreError::Unreachable("connection refused".to_owned()));
        }
        self.shared.counters.count(kind);
        if fate == CallFate::NeverRuns {
            return lose_answer().await;
        }
        let answer = self.run(run);
        if fate == CallFate::AnswerLost {
            return lose_answer().await;
        }
        answer
    }

    fn run<T>(
        &self,
        run: impl FnOnce(&mut KvState, u64) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let mut state = self.state();
        let before = state.version();
        let answer = run(&mut state, self.now_ms());
        if state.version() != before {
            self.shared.changed.send_replace(());
        }
        answer
    }
}

impl Store for MemoryStore {
    fn range_between<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        self.call(CallKind::Range, false, move |state, _| {
            Ok(state.range(start, end, limit))
        })
        .boxed()
    }

    fn txn(&self, txn: Txn) -> BoxFuture<'_, Result<TxnReply, StoreError>> {
        let mut ops = txn.then.iter().chain(&txn.otherwise);
        let writes = ops.any(|op| !matches!(op, Op::Get { .. }));
        self.call(CallKind::Txn, writes, move |state, _| state.txn(&txn))
            .boxed()
    }

    fn grant_lease(&self, ttl_s: u64) -> BoxFuture<'_, Result<Lease, StoreError>> {
        self.call(CallKind::GrantLease, true, move |state, now_ms| {
            Ok(state.grant_lease(ttl_s, now_ms))
        })
        .boxed()
    }

    fn renew_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.call(CallKind::RenewLease, true, move |state, now_ms| {
            state.renew_lease(id, now_ms).map(drop)
        })
        .boxed()
    }

    fn revoke_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.call(CallKind::RevokeLease, true, move |state, _| {
            state.revoke_lease(id)
        })
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: StoreVersion,
    ) -> BoxStream<'a, Result<Changes, StoreError>> {
        self.watch_between(prefix, &prefix_end(prefix), since)
    }
}

async fn lose_answer<T>() -> Result<T, StoreError> {
    sleep(Duration::from_millis(ANSWER_TIMEOUT_MS)).await;
    Err(StoreError::Unknown("no answer in time".to_owned()))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
