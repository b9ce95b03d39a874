//! Memory accounting of a runner record: usage, reservations, and reconciliation with the engine.

use {
    super::{FormerOwner, Owner, PendingOrder, RecordModel, ReservationError, RunnerRecord},
    crate::{
        config::{Fencing, Runner},
        engine::{Action, EngineStatus, ModelResident},
        units::{MemoryMib, ModelName, OrderId},
    },
};

/// Facts besides an engine's status that the reconciliation of a record needs.
pub struct ReconcileContext<'a> {
    /// Returns whether an order could have no further effect before the status was requested.
    pub is_order_done: &'a (dyn Fn(&PendingOrder) -> bool + Sync),
    /// Returns whether a former owner's adapter orders could have no further effect before the
    /// status was requested.
    pub is_former_owner_done: &'a (dyn Fn(&FormerOwner) -> bool + Sync),
    /// Returns the memory of a model that the record does not list.
    pub memory_of: &'a (dyn Fn(&ModelName) -> MemoryMib + Sync),
}

impl RunnerRecord {
    /// Returns the memory of resident models and of pending loads.
    pub fn model_memory_mib(&self) -> MemoryMib {
        let held: MemoryMib = self.models.iter().map(|held| held.memory_mib).sum();
        let reserved: MemoryMib = self.orders.iter().map(PendingOrder::memory_mib).sum();
        held + reserved
    }

    /// Returns the runner's memory that is neither held nor reserved.
    pub fn free_mib(&self, runner: &Runner) -> MemoryMib {
        runner
            .memory_mib
            .saturating_sub(self.model_memory_mib() + self.adapter_pool_mib)
    }

    /// Reserves memory for an order before the order is sent; does nothing if already reserved.
    ///
    /// # Errors
    ///
    /// Fails when the runner has too little free memory, another order for the model is pending,
    /// the model is resident for a load or absent for an unload, or the engine has restarted.
    pub fn reserve(
        &mut self,
        pending: PendingOrder,
        runner: &Runner,
    ) -> Result<(), ReservationError> {
        if self.orders.iter().any(|order| order.id() == pending.id()) {
            return Ok(());
        }
        if pending.order.incarnation != self.engine {
            return Err(ReservationError::IncarnationMismatch);
        }
        self.check_action(&pending, runner)?;
        self.orders.push(pending);
        Ok(())
    }

    fn check_action(
        &self,
        pending: &PendingOrder,
        runner: &Runner,
    ) -> Result<(), ReservationError> {
        if let Some(model) = pending.model()
            && self.orders.iter().any(|order| order.model() == Some(model))
        {
            return Err(ReservationError::OrderPending(model.to_string()));
        }
        match &pending.order.action {
            Action::LoadModel {
                model, memory_mib, ..
            } => self.check_load(model, *memory_mib, runner),
            Action::UnloadModel { model } => self.check_unload(model),
            _ => Ok(()),
        }
    }

    fn check_load(
        &self,
        model: &ModelName,
        needed: MemoryMib,
        runner: &Runner,
    ) -> Result<(), ReservationError> {
        if self.models.iter().any(|held| held.model == *model) {
            return Err(ReservationError::AlreadyResident(model.to_string()));
        }
        let free = self.free_mib(runner);
        if needed > free {
            return Err(ReservationError::InsufficientMemory { needed, free });
        }
        Ok(())
    }

    fn check_unload(&self, model: &ModelName) -> Result<(), ReservationError> {
        if self.models.iter().any(|held| held.model == *model) {
            return Ok(());
        }
        Err(ReservationError::NotResident(model.to_string()))
    }

    /// Removes an order that was not sent and never will be.
    pub fn withdraw(&mut self, id: OrderId) {
        self.orders.retain(|order| order.id() != id);
    }

    /// Changes the memory reserved for adapters.
    ///
    /// # Errors
    ///
    /// Fails when a larger pool does not fit beside the models.
    pub fn resize_pool(
        &mut self,
        desired: MemoryMib,
        runner: &Runner,
    ) -> Result<(), ReservationError> {
        let free = self.free_mib(runner);
        let needed = desired.saturating_sub(self.adapter_pool_mib);
        if needed > free {
            return Err(ReservationError::InsufficientMemory { needed, free });
        }
        self.adapter_pool_mib = desired;
        Ok(())
    }

    /// Assigns the record to a new owner under the next fencing epoch.
    ///
    /// If the engine ignores fencing, the former owner is kept until its orders can have no effect.
    pub fn take_over(&mut self, owner: Owner, fencing: Fencing, adapter_window_mib: MemoryMib) {
        if let Some(former) = self.owner.take()
            && fencing == Fencing::Ignored
        {
            self.former_owners.push(FormerOwner {
                owner: former,
                epoch: self.epoch,
                incarnation: self.engine,
                adapter_window_mib: self.adapter_window_mib,
                given_up: false,
            });
        }
        self.owner = Some(owner);
        self.epoch = self.epoch.next();
        self.adapter_window_mib = adapter_window_mib;
    }

    /// Records that a sender will send no more orders, and ends its ownership.
    pub fn release(&mut self, sender: &Owner, fencing: Fencing) {
        if self.owner.as_ref() == Some(sender) {
            let window_mib = self.adapter_window_mib;
            let epoch = self.epoch;
            self.take_over(sender.clone(), fencing, window_mib);
            self.owner = None;
            self.epoch = epoch;
        }
        for order in self
            .orders
            .iter_mut()
            .filter(|order| order.sender == *sender)
        {
            order.given_up = true;
        }
        for former in &mut self.former_owners {
            former.given_up |= former.owner == *sender;
        }
    }

    /// Updates the record from an engine's status and returns the orders that are finished.
    ///
    /// The status must have been requested after all that the record contains was sent or written.
    /// A status of an earlier incarnation of the engine changes nothing.
    pub fn reconcile(
        &mut self,
        status: &EngineStatus,
        context: &ReconcileContext,
    ) -> Vec<PendingOrder> {
        if status.incarnation < self.engine {
            return Vec::new();
        }
        let restarted = status.incarnation > self.engine;
        let is_finished = |order: &PendingOrder| {
            restarted
                || status.finished.contains(&order.id())
                || ((context.is_order_done)(order) && !order.is_in_progress(&status.models))
                || is_loaded(order, &status.models)
        };
        let finished: Vec<_> = self
            .orders
            .extract_if(.., |order| is_finished(order))
            .collect();
        self.former_owners
            .retain(|former| !restarted && !(context.is_former_owner_done)(former));
        self.models = self.reconciled_models(status, &finished, context);
        self.engine = status.incarnation;
        self.leaving = status.leaving;
        self.reachable = true;
        finished
    }

    /// Returns the resident models, except those whose memory a pending load accounts for.
    fn reconciled_models(
        &self,
        status: &EngineStatus,
        finished: &[PendingOrder],
        context: &ReconcileContext,
    ) -> Vec<RecordModel> {
        let counted_by_order = |resident: &ModelResident| {
            self.orders
                .iter()
                .any(|order| loaded_memory_mib(order, resident).is_some())
        };
        let memory_of = |resident: &ModelResident| {
            let known = self
                .models
                .iter()
                .find(|held| held.model == resident.model && held.version == resident.version)
                .map(|held| held.memory_mib);
            let ordered = || {
                finished
                    .iter()
                    .find_map(|order| loaded_memory_mib(order, resident))
            };
            known
                .or_else(ordered)
                .unwrap_or_else(|| (context.memory_of)(&resident.model))
        };
        let held = |resident: &ModelResident| RecordModel {
            model: resident.model.clone(),
            version: resident.version.clone(),
            memory_mib: memory_of(resident),
            ready: resident.ready,
        };
        let mut models: Vec<_> = status
            .models
            .iter()
            .filter(|resident| !counted_by_order(resident))
            .map(held)
            .collect();
        models.sort_by(|a, b| (&a.model, &a.version).cmp(&(&b.model, &b.version)));
        models
    }
}

/// Returns the memory of an order if the order loads this model in this version.
fn loaded_memory_mib(pending: &PendingOrder, resident: &ModelResident) -> Option<MemoryMib> {
    match &pending.order.action {
        Action::LoadModel {
            model,
            version,
            memory_mib,
        } if *model == resident.model && *version == resident.version => Some(*memory_mib),
        _ => None,
    }
}

/// Returns whether the order is a load whose model is ready.
///
/// Such a load is finished: no other order for the model is pending at the same time, and an engine
/// applies an order only once.
fn is_loaded(pending: &PendingOrder, residents: &[ModelResident]) -> bool {
    residents
        .iter()
        .any(|resident| resident.ready && loaded_memory_mib(pending, resident).is_some())
}
