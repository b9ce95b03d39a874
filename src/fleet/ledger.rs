//! The accounting of a runner's memory: what counts, what may be reserved, what is finished.

use {
    super::{FormerOwner, LedgerError, Owner, PendingOrder, RecordModel, RunnerRecord},
    crate::{
        config::{Fencing, Runner},
        engine::{Action, ModelResident, Status},
        units::{MemoryMib, ModelName, OrderId},
    },
};

/// What is known besides an engine's status when orders are settled.
pub struct Evidence<'a> {
    /// Tells whether an order is known, from before the status was asked for, to change nothing
    /// any more.
    pub is_over: &'a (dyn Fn(&PendingOrder) -> bool + Sync),
    /// Tells the same of an earlier owner's adapter orders.
    pub is_former_over: &'a (dyn Fn(&FormerOwner) -> bool + Sync),
    /// The memory of a model that the record does not know.
    pub memory_of: &'a (dyn Fn(&ModelName) -> MemoryMib + Sync),
}

impl RunnerRecord {
    /// Returns the memory of resident models and of loads not known to be finished.
    pub fn model_memory_mib(&self) -> MemoryMib {
        let held: MemoryMib = self.models.iter().map(|held| held.memory_mib).sum();
        let reserved: MemoryMib = self.orders.iter().map(PendingOrder::memory_mib).sum();
        held + reserved
    }

    /// Returns the memory of the runner that is neither held nor reserved.
    pub fn free_mib(&self, runner: &Runner) -> MemoryMib {
        runner
            .memory_mib
            .saturating_sub(self.model_memory_mib() + self.adapter_pool_mib)
    }

    /// Reserves an order before it is sent; does nothing for an order already reserved.
    ///
    /// # Errors
    ///
    /// Fails when the memory does not suffice or the order does not fit what is resident.
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

    /// Removes an order that was never sent and never will be.
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

    /// Takes the record over for a new owner under the next fencing number.
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

    /// Notes that a sender will send none of its orders any more, and gives up its ownership.
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

    /// Brings the record up to an engine's status and returns the orders that are finished.
    ///
    /// The status must have been asked for after everything that the record knows; one from an
    /// earlier start of the engine changes nothing.
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

/// Returns the memory of a load order when it loads exactly this resident.
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

/// Returns whether the order is a load whose model serves.
///
/// No other order about the model is open meanwhile, and an engine applies an order only once.
fn is_loaded(pending: &PendingOrder, residents: &[ModelResident]) -> bool {
    residents
        .iter()
        .any(|resident| resident.ready && loads(pending, resident).is_some())
}
