//! Memory accounting of a runner record: usage, reservations, and reconciliation with the engine.

use {
    super::{FormerOwner, LedgerError, Owner, PendingOrder, RecordModel, RunnerRecord},
    crate::{
        config::{Fencing, Runner},
        engine::{Action, ModelResident, Status},
        units::{MemoryMib, ModelName, OrderId},
    },
};

/// Facts besides an engine's status that the reconciliation of a record needs.
pub struct Evidence<'a> {
    /// Returns whether an order could have no further effect before the status was requested.
    pub is_over: &'a (dyn Fn(&PendingOrder) -> bool + Sync),
    /// Returns whether a former owner's adapter orders could have no further effect before the
    /// status was requested.
    pub is_former_over: &'a (dyn Fn(&FormerOwner) -> bool + Sync),
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
    pub fn reserve(&mut self, pending: PendingOrder, runner: &Runner) -> Result<(), LedgerError> {
        if self.orders.iter().any(|open| open.id() == pending.id()) {
            return Ok(());
        }
        if pending.order.incarnation != self.engine {
            return Err(LedgerError::OtherIncarnation);
        }
        self.check_action(&pending, runner)?;
        self.orders.push(pending);
        Ok(())
    }

    fn check_action(&self, pending: &PendingOrder, runner: &Runner) -> Result<(), LedgerError> {
        if let Some(model) = pending.model()
            && self.orders.iter().any(|open| open.model() == Some(model))
        {
            return Err(LedgerError::Busy(model.to_string()));
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
    ) -> Result<(), LedgerError> {
        if self.models.iter().any(|held| held.model == *model) {
            return Err(LedgerError::Resident(model.to_string()));
        }
        let free = self.free_mib(runner);
        if needed > free {
            return Err(LedgerError::NoRoom { needed, free });
        }
        Ok(())
    }

    fn check_unload(&self, model: &ModelName) -> Result<(), LedgerError> {
        if self.models.iter().any(|held| held.model == *model) {
            return Ok(());
        }
        Err(LedgerError::NotResident(model.to_string()))
    }

    /// Removes an order that was not sent and never will be.
    pub fn withdraw(&mut self, id: OrderId) {
        self.orders.retain(|open| open.id() != id);
    }

    /// Changes the memory reserved for adapters.
    ///
    /// # Errors
    ///
    /// Fails when a larger pool does not fit beside the models.
    pub fn resize_pool(&mut self, wanted: MemoryMib, runner: &Runner) -> Result<(), LedgerError> {
        let free = self.free_mib(runner);
        let needed = wanted.saturating_sub(self.adapter_pool_mib);
        if needed > free {
            return Err(LedgerError::NoRoom { needed, free });
        }
        self.adapter_pool_mib = wanted;
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
    pub fn give_up(&mut self, sender: &Owner, fencing: Fencing) {
        if self.owner.as_ref() == Some(sender) {
            let window_mib = self.adapter_window_mib;
            let epoch = self.epoch;
            self.take_over(sender.clone(), fencing, window_mib);
            self.owner = None;
            self.epoch = epoch;
        }
        for open in self.orders.iter_mut().filter(|open| open.sender == *sender) {
            open.given_up = true;
        }
        for former in &mut self.former_owners {
            former.given_up |= former.owner == *sender;
        }
    }

    /// Updates the record from an engine's status and returns the orders that are finished.
    ///
    /// The status must have been requested after all that the record contains was sent or written.
    /// A status of an earlier incarnation of the engine changes nothing.
    pub fn settle(&mut self, status: &Status, evidence: &Evidence) -> Vec<PendingOrder> {
        if status.incarnation < self.engine {
            return Vec::new();
        }
        let restarted = status.incarnation > self.engine;
        let is_finished = |open: &PendingOrder| {
            restarted
                || status.finished.contains(&open.id())
                || ((evidence.is_over)(open) && !open.is_in_progress(&status.models))
                || is_loaded(open, &status.models)
        };
        let finished: Vec<_> = self
            .orders
            .extract_if(.., |open| is_finished(open))
            .collect();
        self.former_owners
            .retain(|former| !restarted && !(evidence.is_former_over)(former));
        self.models = self.held_models(status, &finished, evidence);
        self.engine = status.incarnation;
        self.leaving = status.leaving;
        self.reachable = true;
        finished
    }

    /// Returns the resident models, except those whose memory a pending load accounts for.
    fn held_models(
        &self,
        status: &Status,
        finished: &[PendingOrder],
        evidence: &Evidence,
    ) -> Vec<RecordModel> {
        let counted_by_order = |resident: &ModelResident| {
            self.orders
                .iter()
                .any(|open| loads(open, resident).is_some())
        };
        let memory_of = |resident: &ModelResident| {
            let known = self
                .models
                .iter()
                .find(|held| held.model == resident.model && held.version == resident.version)
                .map(|held| held.memory_mib);
            let ordered = || finished.iter().find_map(|order| loads(order, resident));
            known
                .or_else(ordered)
                .unwrap_or_else(|| (evidence.memory_of)(&resident.model))
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
fn loads(pending: &PendingOrder, resident: &ModelResident) -> Option<MemoryMib> {
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
        .any(|resident| resident.ready && loads(pending, resident).is_some())
}
