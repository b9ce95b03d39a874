//! A store whose transactions meet faults, while all other calls go through.

use {
    futures::{future::BoxFuture, stream::BoxStream},
    greengagetrail::store::{
        Changes, Lease, LeaseId, Range, SharedStore, Store, StoreError, StoreVersion, Txn, TxnReply,
    },
};

/// What befalls the transactions of a store.
pub trait TxnFaults: Send + Sync {
    /// Answers a transaction in place of the store.
    fn txn<'a>(
        &'a self,
        inner: &'a SharedStore,
        txn: Txn,
    ) -> BoxFuture<'a, Result<TxnReply, StoreError>>;
}

/// Passes all calls but transactions on.
pub struct FaultyStore<F> {
    pub inner: SharedStore,
    pub faults: F,
}

impl<F: TxnFaults> Store for FaultyStore<F> {
    fn range_between<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        self.inner.range_between(start, end, limit)
    }

    fn txn(&self, txn: Txn) -> BoxFuture<'_, Result<TxnReply, StoreError>> {
        self.faults.txn(&self.inner, txn)
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
