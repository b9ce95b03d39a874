//! Detects outages of the key-value service from the results of calls to it.

use {
    super::{
        Changes, Lease, LeaseId, Range, SharedStore, Store, StoreError, StoreVersion, Txn, TxnReply,
    },
    futures::{
        StreamExt,
        future::{BoxFuture, FutureExt},
        stream::BoxStream,
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
};

/// The times of outages and successful calls.
#[derive(Debug, Default)]
struct Observed {
    /// The start of the current outage; `None` if there is none.
    out_since: Option<Instant>,
    returned_at: Option<Instant>,
    answered_at: Option<Instant>,
}

/// The availability of the key-value service to this process.
///
/// Outages are detected from failed reads and lease renewals. Failed watches don't count, since a
/// watch may break without an outage, nor do failed writes, which may be refused for other reasons.
#[derive(Debug, Default)]
pub struct StoreHealth(Mutex<Observed>);

impl StoreHealth {
    /// Returns the end of the latest outage, or the current time during an outage.
    pub fn outage_end(&self) -> Option<Instant> {
        let observed = self.lock();
        match observed.out_since {
            Some(_) => Some(Instant::now()),
            None => observed.returned_at,
        }
    }

    /// Returns whether an outage is in progress.
    pub fn is_out(&self) -> bool {
        self.lock().out_since.is_some()
    }

    /// Returns the time until which the last response of the service is at most `max` old.
    ///
    /// Returns `None` during an outage, or if that time has passed.
    pub fn fresh_until(&self, max: Duration) -> Option<Instant> {
        let observed = self.lock();
        let until = observed.answered_at? + max;
        (observed.out_since.is_none() && Instant::now() < until).then_some(until)
    }

    fn note<T>(&self, answer: &Result<T, StoreError>) {
        match answer {
            Ok(_) | Err(StoreError::LeaseLapsed(_) | StoreError::Compacted) => self.note_answer(),
            Err(
                cause @ (StoreError::Unreachable(_)
                | StoreError::Unknown(_)
                | StoreError::Refused(_)),
            ) => self.note_failure(cause),
        }
    }

    fn note_failure(&self, cause: &StoreError) {
        let mut observed = self.lock();
        if observed.out_since.is_none() {
            observed.out_since = Some(Instant::now());
            drop(observed);
            log::warn!("store: calls fail: {cause}");
        }
    }

    fn note_answer(&self) {
        let mut observed = self.lock();
        observed.answered_at = Some(Instant::now());
        let Some(since) = observed.out_since.take() else {
            return;
        };
        observed.returned_at = Some(Instant::now());
        drop(observed);
        let out_ms = since.elapsed().as_millis() as u64;
        log::info!(out_ms = out_ms; "store: it answers again.");
    }

    fn lock(&self) -> MutexGuard<'_, Observed> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A store that detects outages of the store to which it forwards its calls.
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

    async fn noted<T>(&self, call: BoxFuture<'_, Result<T, StoreError>>) -> Result<T, StoreError> {
        let answer = call.await;
        self.health.note(&answer);
        answer
    }
}

impl Store for MonitoredStore {
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        self.noted(self.inner.range(prefix, limit)).boxed()
    }

    fn range_between<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        self.noted(self.inner.range_between(start, end, limit))
            .boxed()
    }

    fn txn(&self, txn: Txn) -> BoxFuture<'_, Result<TxnReply, StoreError>> {
        self.inner.txn(txn)
    }

    fn grant_lease(&self, ttl_s: u64) -> BoxFuture<'_, Result<Lease, StoreError>> {
        self.inner.grant_lease(ttl_s)
    }

    fn renew_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.noted(self.inner.renew_lease(id)).boxed()
    }

    fn revoke_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.inner.revoke_lease(id)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: StoreVersion,
    ) -> BoxStream<'a, Result<Changes, StoreError>> {
        let watch = self.inner.watch(prefix, since);
        let answered = |changes: &Result<Changes, StoreError>| {
            if changes.is_ok() {
                self.health.note_answer();
            }
        };
        watch.inspect(answered).boxed()
    }
}
