//! A store that becomes unreachable after a number of transactions.

use {
    futures::{
        future::{BoxFuture, FutureExt},
        stream::BoxStream,
    },
    greengagetrail::store::{
        Changes, Lease, LeaseId, Range, SharedStore, Store, StoreError, StoreVersion, Txn, TxnReply,
    },
    std::sync::atomic::{AtomicUsize, Ordering},
};

/// Passes a number of transactions on, then none.
pub struct FailingStore {
    inner: SharedStore,
    left: AtomicUsize,
}

impl FailingStore {
    /// Passes `calls` transactions on.
    pub fn new(inner: SharedStore, calls: usize) -> Self {
        Self {
            inner,
            left: AtomicUsize::new(calls),
        }
    }
}

impl Store for FailingStore {
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        self.inner.range(prefix, limit)
    }

    fn range_between<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        self.inner.range_between(start, end, limit)
    }

    fn txn(&self, txn: Txn) -> BoxFuture<'_, Result<TxnReply, StoreError>> {
        let take = |left: usize| left.checked_sub(1);
        let order = Ordering::SeqCst;
        match self.left.fetch_update(order, order, take) {
            Ok(_) => self.inner.txn(txn),
            Err(_) => async { Err(StoreError::Unreachable("down".to_owned())) }.boxed(),
        }
    }

    fn grant_lease(&self, ttl_s: u64) -> BoxFuture<'_, Result<Lease, StoreError>> {
        self.inner.grant_lease(ttl_s)
    }

    fn renew_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.inner.renew_lease(id)
    }

    fn revoke_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.inner.revoke_lease(id)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: StoreVersion,
    ) -> BoxStream<'a, Result<Changes, StoreError>> {
        self.inner.watch(prefix, since)
    }
}
