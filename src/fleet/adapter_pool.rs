//! The size and usage of one owned runner's adapter pool.

use {
    super::{RecordError, ReservationError, TxnExtras, runner_task::RunnerTask},
    crate::units::{AdapterName, MemoryMib},
    std::sync::Arc,
};

impl RunnerTask {
    /// Resizes the reserved adapter pool to the configured size, if models and adapters fit.
    pub(super) async fn resize_pool(&mut self) -> Result<(), RecordError> {
        let desired = self.runner.adapter_pool_mib;
        let reserved = self.handle.record().adapter_pool_mib;
        let shrinks = desired < reserved;
        if desired == reserved || (shrinks && !self.pool_may_shrink(desired)) {
            return Ok(());
        }
        let runner = self.runner.clone();
        let window = self.context.adapter_window(&runner);
        let resized = self
            .handle
            .change(&TxnExtras::default(), |record| {
                record.resize_pool(desired, &runner)?;
                record.adapter_window_mib = record.adapter_window_mib.max(window);
                Ok::<_, ReservationError>(())
            })
            .await;
        match resized {
            Err(RecordError::Reservation(_)) => Ok(()),
            other => other,
        }
    }

    /// Returns whether all adapters, including those that former owners may have loaded, fit into a
    /// pool of the desired size.
    fn pool_may_shrink(&self, desired: MemoryMib) -> bool {
        self.adapters_bounded && self.adapter_pool_used_mib() <= desired
    }

    /// Returns the pool memory of resident adapters, pending loads, and loads that former owners
    /// may have sent.
    pub(super) fn adapter_pool_used_mib(&self) -> MemoryMib {
        let catalog = Arc::clone(&self.context.view.borrow().catalog);
        let pool = self.handle.record().adapter_pool_mib;
        let size_of = |name: &AdapterName| catalog.adapter(name).map_or(pool, |a| a.memory_mib);
        let former: MemoryMib = self
            .handle
            .record()
            .former_owners
            .iter()
            .map(|former| former.adapter_window_mib)
            .sum();
        self.adapters.used_mib(&size_of) + former
    }
}
