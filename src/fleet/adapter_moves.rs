//! Executes the planner's adapter loads and unloads on one owned runner.

use {
    super::{
        RecordError, move_queue::MoveOutcome, order_sender::SendOutcome, runner_task::RunnerTask,
    },
    crate::{
        config::Fencing,
        engine::Action,
        units::{AdapterName, MemoryMib},
    },
};

impl RunnerTask {
    /// Reserves and sends the load of an adapter, if permits and memory allow.
    pub(super) async fn load_adapter(
        &mut self,
        name: &AdapterName,
    ) -> Result<MoveOutcome, RecordError> {
        let catalog = self.context.view.borrow().catalog.clone();
        let Some(adapter) = catalog.adapter(name) else {
            return Ok(MoveOutcome::Finished);
        };
        if !self.adapters_bounded || !self.handle.record().serves(&adapter.model) {
            return Ok(MoveOutcome::Deferred);
        }
        let Some(permit) = self.context.adapter_permits.try_acquire() else {
            return Ok(MoveOutcome::Deferred);
        };
        self.renew_allowance(adapter.memory_mib).await?;
        let pending = self.new_order(Action::LoadAdapter {
            adapter: name.clone(),
            model: adapter.model.clone(),
            memory_mib: adapter.memory_mib,
        });
        let pool = self.handle.record().adapter_pool_mib;
        let free = pool.saturating_sub(self.adapter_pool_used_mib());
        let order = pending.order.clone();
        let id = order.id;
        self.adapters.reserve(pending, free)?;
        if self.send(order).await == SendOutcome::Running {
            self.permits.push((id, permit));
        }
        Ok(MoveOutcome::Finished)
    }

    /// Sends the unload of an adapter.
    pub(super) async fn unload_adapter(
        &mut self,
        name: &AdapterName,
    ) -> Result<MoveOutcome, RecordError> {
        let pending = self.new_order(Action::UnloadAdapter {
            adapter: name.clone(),
        });
        let order = pending.order.clone();
        self.adapters.reserve(pending, MemoryMib::default())?;
        self.send(order).await;
        Ok(MoveOutcome::Finished)
    }

    /// Ensures that a load of this size stays within the adapter window in the record, which is the
    /// memory that a later owner assumes for this owner's unfinished loads.
    async fn renew_allowance(&mut self, needed: MemoryMib) -> Result<(), RecordError> {
        if self.adapters.allowance_mib() >= needed {
            return Ok(());
        }
        if self.runner.fencing == Fencing::Ignored {
            self.handle.reload().await?;
        }
        let window = match self.runner.fencing {
            Fencing::Ignored => self.handle.record().adapter_window_mib,
            Fencing::Honoured => self.handle.record().adapter_pool_mib,
        };
        self.adapters.renew_allowance(window);
        Ok(())
    }
}
