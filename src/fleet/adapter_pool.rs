//! The size and usage of one owned runner's adapter pool.

use {
    super::{Extra, LedgerError, RecordError, runner_task::RunnerTask},
    crate::units::{AdapterName, MemoryMib},
    std::sync::Arc,
};

impl RunnerTask {
    /// Resizes the reserved adapter pool to the configured size, if models and adapters fit.
    pub(super) async fn resize_pool(&mut self) -> Result<(), RecordError> {
        let wanted = self.runner.adapter_pool_mib;
        let reserved = self.handle.record().adapter_pool_mib;
        let shrinks = wanted < reserved;
        if wanted == reserved || (shrinks && !self.pool_may_shrink(wanted)) {
            return Ok(());
        }
        let runner = self.runner.clone();
        let window = self.context.adapter_window(&runner);
        let resized = self
            .handle
            .change(&Extra::default(), |record| {
                record.resize_pool(wanted, &runner)?;
                record.adapter_window_mib = record.adapter_window_mib.max(window);
                Ok::<_, LedgerError>(())
            })
            .await;
        match resized {
            Err(RecordError::Ledger(_)) => Ok(()),
            other => other,
        }
    }

    fn pool_may_shrink(&self, wanted: MemoryMib) -> bool {
        self.adapters_known && self.adapter_pool_used_mib() <= wanted
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
