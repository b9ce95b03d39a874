//! Detects outages of the key-value service from the results of calls to it.

use {
    super::{
        Changes, Lease, LeaseId, Range, SharedStore, Store, StoreError, StoreVersion, Txn,
        TxnReply, reopening_watch::ReopeningWatch,
    },
    futures::{
        future::{self, BoxFuture, FutureExt},
        stream::BoxStream,
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::watch, time::Instant},
};

/// The times of outages and successful calls.
#[derive(Debug, Default)]
struct HealthState {
    /// The start of the current outage; `None` if there is none.
    outage_since: Option<Instant>,
    last_response_at: Option<Instant>,
}

/// The availability of the key-value service to this process.
///
/// Outages are detected from failed reads and lease renewals. Failed watches don't count, since a
/// watch may break without an outage, nor do failed writes, which may be refused for other reasons.
#[derive(Debug, Default)]
pub struct StoreHealth {
    state: Mutex<HealthState>,
    /// When the latest outage ended.
    recovered_at: watch::Sender<Option<Instant>>,
}

impl StoreHealth {
    /// Returns the end of the latest outage, or the current time during an outage.
    pub fn outage_end(&self) -> Option<Instant> {
        let state = self.lock();
        match state.outage_since {
            Some(_) => Some(Instant::now()),
            None => *self.recovered_at.borrow(),
        }
    }

    /// Waits until an outage ends, or has ended after `since`; returns when it ended.
    pub(super) async fn outage_ended_after(&self, since: Instant) -> Instant {
        let mut recovered_at = self.recovered_at.subscribe();
        let ended = recovered_at.wait_for(|at| at.is_some_and(|at| at > since));
        match ended.await.ok().and_then(|at| *at) {
            Some(at) => at,
            // The sender lives as long as `self`.
            None => future::pending().await,
        }
    }

    /// Returns whether an outage is in progress.
    pub fn is_out(&self) -> bool {
        self.lock().outage_since.is_some()
    }

    /// Returns the time until which the last response of the service is at most `max` old.
    ///
    /// Returns `None` during an outage, or if that time has passed.
    pub fn fresh_until(&self, max: Duration) -> Option<Instant> {
        let state = self.lock();
        let until = state.last_response_at? + max;
        (state.outage_since.is_none() && Instant::now() < until).then_some(until)
    }

    fn record_result<T>(&self, result: &Result<T, StoreError>) {
        match result {
            Ok(_) | Err(StoreError::LeaseLapsed(_) | StoreError::Compacted) => {
                self.record_response()
            }
            Err(
                cause @ (StoreError::Unreachable(_)
                | StoreError::Unknown(_)
                | StoreError::Refused(_)),
            ) => self.record_failure(cause),
        }
    }

    fn record_failure(&self, cause: &StoreError) {
        let mut state = self.lock();
        if state.outage_since.is_none() {
            state.outage_since = Some(Instant::now());
            drop(state);
            log::warn!("store: calls fail: {cause}");
        }
    }

    pub(super) fn record_response(&self) {
        let mut state = self.lock();
        state.last_response_at = Some(Instant::now());
        let Some(since) = state.outage_since.take() else {
            return;
        };
        self.recovered_at.send_replace(Some(Instant::now()));
        drop(state);
        let out_ms = since.elapsed().as_millis() as u64;
        log::info!(out_ms = out_ms; "store: it answers again.");
    }

    fn lock(&self) -> MutexGuard<'_, HealthState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A store that detects outages of the store to which it forwards its calls.
///
/// Its watches are opened again after each outage.
pub struct MonitoredStore {
    inner: SharedStore,
    health: Arc<StoreHealth>,
}

impl MonitoredStore {
    /// Creates a store that forwards its calls to `inner`.
    pub fn new(inner: SharedStore) -> Self {
        Self {
            inner,
            health: Arc::default(),
        }
    }

    /// Returns the availability of the store.
    pub fn health(&self) -> Arc<StoreHealth> {
        self.health.clone()
    }

    async fn monitored<T>(
        &self,
        call: BoxFuture<'_, Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let result = call.await;
        self.health.record_result(&result);
        result
    }
}

impl Store for MonitoredStore {
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        self.monitored(self.inner.range(prefix, limit)).boxed()
    }

    fn range_between<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        self.monitored(self.inner.range_between(start, end, limit))
            .boxed()
    }

    fn txn(&self, txn: Txn) -> BoxFuture<'_, Result<TxnReply, StoreError>> {
        self.inner.txn(txn)
    }

    fn grant_lease(&self, ttl_s: u64) -> BoxFuture<'_, Result<Lease, StoreError>> {
        self.inner.grant_lease(ttl_s)
    }

    fn renew_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.monitored(self.inner.renew_lease(id)).boxed()
    }

    fn revoke_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.inner.revoke_lease(id)
    }

    fn changes_now<'a>(
        &'a self,
        prefix: &'a str,
        since: StoreVersion,
    ) -> BoxFuture<'a, Result<Changes, StoreError>> {
        self.monitored(self.inner.changes_now(prefix, since))
            .boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: StoreVersion,
    ) -> BoxStream<'a, Result<Changes, StoreError>> {
        ReopeningWatch::open(&*self.inner, &self.health, prefix, since).into_stream()
    }
}
