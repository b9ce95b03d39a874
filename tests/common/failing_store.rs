//! A store that is unreachable after a number of transactions.

use {
    super::faulty_store::{FaultyStore, TxnFaults},
    futures::future::{BoxFuture, FutureExt},
    greengagetrail::store::{SharedStore, StoreError, Txn, TxnReply},
    std::sync::atomic::{AtomicUsize, Ordering},
};

/// Passes a number of transactions on, then none.
pub type FailingStore = FaultyStore<TxnsLeft>;

/// The transactions that still go through.
pub struct TxnsLeft(AtomicUsize);

impl FailingStore {
    /// Creates a store that executes `calls` transactions.
    pub fn new(inner: SharedStore, calls: usize) -> Self {
        let faults = TxnsLeft(AtomicUsize::new(calls));
        Self { inner, faults }
    }
}

impl TxnFaults for TxnsLeft {
    fn txn<'a>(
        &'a self,
        inner: &'a SharedStore,
        txn: Txn,
    ) -> BoxFuture<'a, Result<TxnReply, StoreError>> {
        let take = |left: usize| left.checked_sub(1);
        let order = Ordering::SeqCst;
        match self.0.fetch_update(order, order, take) {
            Ok(_) => inner.txn(txn),
            Err(_) => async { Err(StoreError::Unreachable("down".to_owned())) }.boxed(),
        }
    }
}
