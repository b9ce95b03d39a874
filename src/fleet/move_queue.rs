//! Executes the planner's moves on one owned runner as orders to its engine.

use {
    super::{
        AuditEvent, Extra, LedgerError, LoadWait, MoveChange, PendingOrder, QueuedMove,
        RecordError, read_records, record_io::unchanged, record_key, runner_task::RunnerTask,
    },
    crate::{
        engine::{Action, Order},
        store::Compare,
        units::{ModelName, OrderId},
    },
    tokio::time::Instant,
};

/// The largest number of records read to find another copy of a model.
const COPIES_READ_MAX: usize = 8;

/// The outcome of an attempt to execute a move.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum MoveOutcome {
    /// The move's order was sent, or the move is obsolete.
    Over,
    /// The move stays queued and will be attempted again.
    Waits,
}

impl RunnerTask {
    /// Queues a move, in place of a queued move with the same change.
    pub(super) fn enqueue(&mut self, queued: QueuedMove) {
        self.moves
            .retain(|known| known.wanted.change != queued.wanted.change);
        self.moves.push(queued);
        self.moves.sort_by_key(|known| !known.wanted.urgent);
    }

    /// Attempts every queued move, and returns whether any of them is finished.
    ///
    /// # Errors
    ///
    /// Fails when another owner holds the record or the store fails.
    pub(super) async fn carry_out_moves(&mut self) -> Result<bool, RecordError> {
        let mut sent = false;
        let now = Instant::now();
        let mut tries = std::mem::take(&mut self.moves);
        tries.retain(|queued| queued.until > now);
        while !tries.is_empty() {
            let queued = tries.remove(0);
            match self.carry_out(&queued).await {
                Ok(MoveOutcome::Over) => sent = true,
                Ok(MoveOutcome::Waits) => self.moves.push(queued),
                Err(error) => {
                    self.moves.push(queued);
                    self.moves.append(&mut tries);
                    return Err(error);
                }
            }
        }
        Ok(sent)
    }

    async fn carry_out(&mut self, queued: &QueuedMove) -> Result<MoveOutcome, RecordError> {
        let result = match &queued.wanted.change {
            MoveChange::Load(model) => self.load(model, queued).await,
            MoveChange::Unload(model) => self.unload(model, queued).await,
            MoveChange::LoadAdapter(adapter) => self.load_adapter(adapter).await,
            MoveChange::UnloadAdapter(adapter) => self.unload_adapter(adapter).await,
        };
        match result {
            Err(RecordError::Ledger(LedgerError::Resident(_) | LedgerError::NotResident(_))) => {
                Ok(MoveOutcome::Over)
            }
            Err(RecordError::Ledger(_) | RecordError::Contended) => Ok(MoveOutcome::Waits),
            other => other,
        }
    }

    /// Reserves and sends the load of a model, if memory and the load limits allow.
    async fn load(
        &mut self,
        name: &ModelName,
        queued: &QueuedMove,
    ) -> Result<MoveOutcome, RecordError> {
        let catalog = self.context.view.borrow().catalog.clone();
        let Some(model) = catalog.model(name) else {
            return Ok(MoveOutcome::Over);
        };
        let action = Action::LoadModel {
            model: name.clone(),
            version: model.version.clone(),
            memory_mib: model.memory_mib,
        };
        let mut pending = self.pending(action);
        let mut trial = self.handle.record().clone();
        trial.reserve(pending.clone(), &self.runner)?;
        let gate = self.context.gate.clone();
        let urgent = queued.wanted.urgent;
        let turn = gate.turn(&catalog.deployment, &self.runner.name, pending.id(), urgent);
        let turn = match turn.await {
            Ok(turn) => turn,
            Err(LoadWait::Full | LoadWait::Spacing) => return Ok(MoveOutcome::Waits),
            Err(LoadWait::Store(error)) => return Err(error),
        };
        pending.load_slot = Some(turn.slot);
        self.reserve_and_send(pending, &turn.extra, queued).await
    }

    /// Sends the unload of a model, if another runner serves the model or the configuration does
    /// not list it.
    async fn unload(
        &mut self,
        model: &ModelName,
        queued: &QueuedMove,
    ) -> Result<MoveOutcome, RecordError> {
        let pending = self.pending(Action::UnloadModel {
            model: model.clone(),
        });
        let mut trial = self.handle.record().clone();
        trial.reserve(pending.clone(), &self.runner)?;
        let configured = self.context.view.borrow().catalog.model(model).is_some();
        let mut extra = Extra::default();
        if configured {
            let Some(other_copy) = self.find_other_copy(model).await? else {
                return Ok(MoveOutcome::Waits);
            };
            extra.compare.push(other_copy);
        }
        self.reserve_and_send(pending, &extra, queued).await
    }

    /// Returns the transaction condition that another runner still serves the model, if one does.
    async fn find_other_copy(&self, model: &ModelName) -> Result<Option<Compare>, RecordError> {
        let catalog = self.context.view.borrow().catalog.clone();
        let mut runners = self.context.board.serving(model, &self.runner.name);
        runners.retain(|name| catalog.runner(name).is_some());
        runners.truncate(COPIES_READ_MAX);
        if runners.is_empty() {
            return Ok(None);
        }
        let records = read_records(&self.context.store, &runners).await?;
        let serving = records.iter().find(|(record, _)| record.serves(model));
        Ok(serving.map(|(record, version)| unchanged(&record_key(&record.name), *version)))
    }

    /// Creates an order of this owner with a new id.
    pub(super) fn pending(&self, action: Action) -> PendingOrder {
        let order = Order {
            id: OrderId::random(),
            epoch: self.handle.epoch(),
            incarnation: self.handle.record().engine,
            action,
        };
        PendingOrder {
            order,
            sender: self.context.me.clone(),
            given_up: false,
            load_slot: None,
        }
    }

    /// Writes an order to the record and then sends it.
    ///
    /// An order whose write may have failed is never sent.
    async fn reserve_and_send(
        &mut self,
        pending: PendingOrder,
        extra: &Extra,
        queued: &QueuedMove,
    ) -> Result<MoveOutcome, RecordError> {
        let runner = self.runner.clone();
        self.handle
            .change(extra, |record| record.reserve(pending.clone(), &runner))
            .await?;
        self.audit(&pending, AuditEvent::Reserved, Some(&queued.decision));
        self.publish();
        self.send(pending.order).await;
        Ok(MoveOutcome::Over)
    }
}
