//! Executes the planner's moves on one owned runner as orders to its engine.

use {
    super::{
        AuditEvent, LoadDenial, MoveChange, PendingOrder, QueuedMove, RecordError,
        ReservationError, TxnExtras, read_records, record_io::version_condition, record_key,
        runner_task::RunnerTask,
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
    Finished,
    /// The move stays queued and will be attempted again.
    Deferred,
}

impl RunnerTask {
    /// Queues a move, in place of a queued move with the same change.
    pub(super) fn enqueue(&mut self, queued: QueuedMove) {
        self.moves
            .retain(|known| known.request.change != queued.request.change);
        self.moves.push(queued);
        self.moves.sort_by_key(|known| !known.request.urgent);
    }

    /// Attempts every queued move, and returns whether any of them is finished.
    ///
    /// # Errors
    ///
    /// Fails when another owner holds the record or the store fails.
    pub(super) async fn execute_moves(&mut self) -> Result<bool, RecordError> {
        let mut finished = false;
        let now = Instant::now();
        let mut attempts = std::mem::take(&mut self.moves);
        attempts.retain(|queued| queued.expires_at > now);
        while !attempts.is_empty() {
            let queued = attempts.remove(0);
            match self.execute_move(&queued).await {
                Ok(MoveOutcome::Finished) => finished = true,
                Ok(MoveOutcome::Deferred) => self.moves.push(queued),
                Err(error) => {
                    self.moves.push(queued);
                    self.moves.append(&mut attempts);
                    return Err(error);
                }
            }
        }
        Ok(finished)
    }

    /// Attempts one queued move.
    async fn execute_move(&mut self, queued: &QueuedMove) -> Result<MoveOutcome, RecordError> {
        let result = match &queued.request.change {
            MoveChange::Load(model) => self.load_model(model, queued).await,
            MoveChange::Unload(model) => self.unload_model(model, queued).await,
            MoveChange::LoadAdapter(adapter) => self.load_adapter(adapter).await,
            MoveChange::UnloadAdapter(adapter) => self.unload_adapter(adapter).await,
        };
        match result {
            Err(RecordError::Reservation(
                ReservationError::AlreadyResident(_) | ReservationError::NotResident(_),
            )) => Ok(MoveOutcome::Finished),
            Err(RecordError::Reservation(_) | RecordError::Conflict) => Ok(MoveOutcome::Deferred),
            other => other,
        }
    }

    /// Reserves and sends the load of a model, if memory and the load limits allow.
    async fn load_model(
        &mut self,
        name: &ModelName,
        queued: &QueuedMove,
    ) -> Result<MoveOutcome, RecordError> {
        let catalog = self.context.view.borrow().catalog.clone();
        let Some(model) = catalog.model(name) else {
            return Ok(MoveOutcome::Finished);
        };
        let action = Action::LoadModel {
            model: name.clone(),
            version: model.version.clone(),
            memory_mib: model.memory_mib,
        };
        let mut pending = self.new_order(action);
        let mut trial = self.handle.record().clone();
        trial.reserve(pending.clone(), &self.runner)?;
        let limiter = self.context.load_limiter.clone();
        let urgent = queued.request.urgent;
        let permit =
            limiter.try_acquire(&catalog.deployment, &self.runner.name, pending.id(), urgent);
        let permit = match permit.await {
            Ok(permit) => permit,
            Err(LoadDenial::NoFreeSlot | LoadDenial::TooSoon) => return Ok(MoveOutcome::Deferred),
            Err(LoadDenial::Store(error)) => return Err(error),
        };
        pending.load_slot = Some(permit.slot);
        self.reserve_and_send(pending, &permit.extras, queued).await
    }

    /// Sends the unload of a model, if another runner serves the model or the configuration does
    /// not list it.
    async fn unload_model(
        &mut self,
        model: &ModelName,
        queued: &QueuedMove,
    ) -> Result<MoveOutcome, RecordError> {
        let pending = self.new_order(Action::UnloadModel {
            model: model.clone(),
        });
        let mut trial = self.handle.record().clone();
        trial.reserve(pending.clone(), &self.runner)?;
        let configured = self.context.view.borrow().catalog.model(model).is_some();
        let mut extras = TxnExtras::default();
        if configured {
            let Some(other_copy) = self.find_other_copy(model).await? else {
                return Ok(MoveOutcome::Deferred);
            };
            extras.compare.push(other_copy);
        }
        self.reserve_and_send(pending, &extras, queued).await
    }

    /// Returns the transaction condition that another runner still serves the model, if one does.
    async fn find_other_copy(&self, model: &ModelName) -> Result<Option<Compare>, RecordError> {
        let catalog = self.context.view.borrow().catalog.clone();
        let mut runners = self
            .context
            .runner_states
            .runners_serving(model, &self.runner.name);
        runners.retain(|name| catalog.runner(name).is_some());
        runners.truncate(COPIES_READ_MAX);
        if runners.is_empty() {
            return Ok(None);
        }
        let records = read_records(&self.context.store, &runners).await?;
        let serving = records.iter().find(|(record, _)| record.serves(model));
        Ok(serving.map(|(record, version)| version_condition(&record_key(&record.name), *version)))
    }

    /// Creates an order of this owner with a new id.
    pub(super) fn new_order(&self, action: Action) -> PendingOrder {
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
        extras: &TxnExtras,
        queued: &QueuedMove,
    ) -> Result<MoveOutcome, RecordError> {
        let runner = self.runner.clone();
        self.handle
            .change(extras, |record| record.reserve(pending.clone(), &runner))
            .await?;
        self.audit_order(&pending, AuditEvent::Reserved, Some(&queued.decision));
        self.publish_state();
        self.send(pending.order).await;
        Ok(MoveOutcome::Finished)
    }
}
