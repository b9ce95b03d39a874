//! A store that is unreachable after a number of transactions.

use {
    super::faulty_store::{FaultyStore, TxnFaults},
    futures::future::{BoxFuture, FutureExt},
    greengagetrail::store::{SharedStore, StoreError, Txn, TxnReply},
    std::sync::atomic::{AtomicUsize, Ordering},
};

/// A store that executes a number of transactions and fails all later ones.
pub type FailingStore = FaultyStore<TxnBudget>;

/// The number of transactions that are still executed.
pub struct TxnBudget(AtomicUsize);

impl FailingStore {
    /// Creates a store that executes `calls` transactions.
    pub fn new(inner: SharedStore, calls: usize) -> Self {
        let faults = TxnBudget(AtomicUsize::new(calls));
        Self { inner, faults }
    }
}

impl TxnFaults for TxnBudget {
    fn txn<'a>(
        &'a self,
        inner: &'a SharedStore,
        txn: Txn,
    ) -> BoxFuture<'a, Result<TxnReply, StoreError>> {
        let decrement = |left: usize| left.checked_sub(1);
        let order = Ordering::SeqCst;
        match self.0.fetch_update(order, order, decrement) {
            Ok(_) => inner.txn(txn),
            Err(_) => async { Err(StoreError::Unreachable("down".to_owned())) }.boxed(),
        }
    }
}
