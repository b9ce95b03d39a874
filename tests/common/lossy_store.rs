//! A store of long-polling calls that loses its responses while it is silent.

use {
    futures::{
        StreamExt,
        future::{BoxFuture, FutureExt, pending},
        stream::BoxStream,
    },
    greengagetrail::{
        standin::kv::MemoryStore,
        store::{
            Changes, Lease, LeaseId, Range, Store, StoreError, StoreVersion, Txn, TxnReply,
            WatchLimits, long_poll,
        },
    },
    std::sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    tokio::time::{Instant, timeout, timeout_at},
};

/// A link to a store whose calls get no response if the store is silent when they begin, or when
/// their response is due.
///
/// The connections of such calls stay open, and the calls get no response after the silence either.
pub struct LossyStore {
    pub link: MemoryStore,
    pub limits: WatchLimits,
    /// The number of watch calls so far.
    pub watch_calls: Arc<AtomicU32>,
}

impl LossyStore {
    pub fn new(link: MemoryStore, limits: WatchLimits) -> Self {
        Self {
            link,
            limits,
            watch_calls: Arc::default(),
        }
    }

    async fn poll(&self, prefix: &str, since: StoreVersion) -> Result<Changes, StoreError> {
        self.watch_calls.fetch_add(1, Ordering::SeqCst);
        let response = timeout(self.limits.call.timeout, self.respond(prefix, since));
        let lost = |_| Err(StoreError::Unknown("no answer in time".to_owned()));
        response.await.unwrap_or_else(lost)
    }

    async fn respond(&self, prefix: &str, since: StoreVersion) -> Result<Changes, StoreError> {
        if self.link.faults().silent {
            return pending().await;
        }
        // A second link: changes that come while the store is silent end the call unheard.
        let served = self.link.link();
        let mut watch = served.watch(prefix, since);
        let until = Instant::now() + self.limits.wait;
        let mut latest = Changes::none_after(since);
        while let Ok(Some(batch)) = timeout_at(until, watch.next()).await {
            latest = batch?;
            if !latest.changes.is_empty() {
                break;
            }
        }
        match self.link.faults().silent {
            true => pending().await,
            false => Ok(latest),
        }
    }
}

impl Store for LossyStore {
    fn range_between<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        self.link.range_between(start, end, limit)
    }

    fn txn(&self, txn: Txn) -> BoxFuture<'_, Result<TxnReply, StoreError>> {
        self.link.txn(txn)
    }

    fn grant_lease(&self, ttl_s: u64) -> BoxFuture<'_, Result<Lease, StoreError>> {
        self.link.grant_lease(ttl_s)
    }

    fn renew_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.link.renew_lease(id).boxed()
    }

    fn revoke_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.link.revoke_lease(id)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: StoreVersion,
    ) -> BoxStream<'a, Result<Changes, StoreError>> {
        long_poll(since, move |since| self.poll(prefix, since))
    }
}
