//! The task of one owned runner, which polls the engine, reconciles the record and executes moves.

use {
    super::{
        AdapterAccounting, AdapterPermit, AuditEvent, AuditRecord, PendingOrder, QueuedMove,
        ReconcileContext, RecordError, RecordHandle, ReservationError, RunnerState, TaskContext,
        TxnExtras,
        order_evidence::{OrderEvidence, Resolution},
    },
    crate::{
        config::{Fencing, Runner},
        engine::{Engine, EngineRole, EngineStatus},
        units::{Epoch, Incarnation, ModelName, OrderId, RunnerName, unix_now_ms},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// The number of consecutive failed polls after which an engine counts as unreachable.
const UNREACHABLE_POLLS: u32 = 3;
/// The first delay between an order and the next poll, which doubles with each poll.
const ORDER_POLL_DELAY_MIN: Duration = Duration::from_millis(20);

/// The task of one runner, while this process owns the runner.
pub(super) struct RunnerTask {
    pub(super) context: Arc<TaskContext>,
    pub(super) runner: Runner,
    pub(super) engine: Arc<dyn Engine>,
    pub(super) handle: RecordHandle,
    pub(super) adapters: AdapterAccounting,
    pub(super) evidence: OrderEvidence,
    /// The engine's role, with the incarnation that reported it.
    pub(super) role: Option<(Incarnation, EngineRole)>,
    failed_polls: u32,
    pub(super) unanswered_polls: u32,
    /// A newer fencing epoch that the engine named in a refusal.
    pub(super) fenced_by: Option<Epoch>,
    /// Whether a status was received after the adapter orders of all former owners were bounded by
    /// fencing or by their adapter windows.
    pub(super) adapters_bounded: bool,
    /// The permits of adapter loads in progress.
    pub(super) permits: Vec<(OrderId, AdapterPermit)>,
    pub(super) moves: Vec<QueuedMove>,
    /// The delay before the next poll while an order is pending.
    pub(super) order_poll_delay: Duration,
}

impl RunnerTask {
    /// Acquires the runner under the next fencing epoch.
    ///
    /// # Errors
    ///
    /// Fails when the store fails or another process changes the record at the same time.
    pub(super) async fn take_over(
        context: Arc<TaskContext>,
        runner: Runner,
        engine: Arc<dyn Engine>,
    ) -> Result<Self, RecordError> {
        let me = context.me.clone();
        let window = context.adapter_window(&runner);
        let fencing = runner.fencing;
        let store = Arc::clone(&context.store);
        let known_epoch = context.runner_states.known_epoch(&runner.name);
        let handle = RecordHandle::take_over(store, &runner.name, me.clone(), |record| {
            record.epoch = record.epoch.max(known_epoch);
            record.take_over(me.clone(), fencing, window);
        })
        .await?;
        log::info!(
            "fleet: {} owns {} under {}",
            me.vm,
            runner.name,
            handle.epoch()
        );
        Ok(Self {
            evidence: OrderEvidence::new(context.me.clone(), handle.epoch()),
            context,
            runner,
            engine,
            handle,
            adapters: AdapterAccounting::default(),
            role: None,
            failed_polls: 0,
            unanswered_polls: 0,
            fenced_by: None,
            adapters_bounded: false,
            permits: Vec::new(),
            moves: Vec::new(),
            order_poll_delay: ORDER_POLL_DELAY_MIN,
        })
    }

    /// Returns the delay before the next poll.
    ///
    /// The delay is short after an order was sent, so that its effect is soon visible.
    pub(super) fn next_poll_delay(&mut self) -> Duration {
        let longest = self.context.timing.status_interval;
        let has_pending =
            !self.handle.record().orders.is_empty() || !self.adapters.orders().is_empty();
        if !has_pending || self.failed_polls > 0 {
            self.order_poll_delay = ORDER_POLL_DELAY_MIN;
            return longest;
        }
        let delay = self.order_poll_delay.min(longest);
        self.order_poll_delay *= 2;
        delay
    }

    /// Polls the engine once and reconciles the record with its status.
    ///
    /// # Errors
    ///
    /// Fails when another owner holds the record or the store fails.
    pub(super) async fn poll(&mut self) -> Result<(), RecordError> {
        self.check_ownership().await?;
        self.withdraw_unsent().await?;
        self.refresh_runner();
        self.update_evidence();
        if self.needs_barrier() && !self.send_barrier().await {
            return self.record_failed_poll().await;
        }
        let resolution = self.evidence.resolution(&self.runner);
        let former_owners_bounded =
            self.evidence.are_former_owners_fenced() || self.runner.fencing == Fencing::Ignored;
        match self.request_status().await {
            Some(status) => {
                self.reconcile(&status, &resolution).await?;
                self.adapters_bounded |= former_owners_bounded;
                self.publish_state();
                self.resize_pool().await?;
                self.raise_epoch_if_unanswered(&status).await
            }
            None => self.record_failed_poll().await,
        }
    }

    /// Updates the runner's settings from the newest configuration.
    fn refresh_runner(&mut self) {
        let view = self.context.view.borrow().clone();
        if let Some(runner) = view.catalog.runner(&self.runner.name) {
            self.runner = runner.clone();
        }
    }

    /// Requests the engine's status; returns `None` on an error or a timeout.
    pub(super) async fn request_status(&self) -> Option<EngineStatus> {
        timeout(self.context.timing.order_timeout, self.engine.status())
            .await
            .ok()?
            .ok()
    }

    /// Updates the record and the adapter accounting from a status, and audits finished orders.
    async fn reconcile(
        &mut self,
        status: &EngineStatus,
        resolution: &Resolution,
    ) -> Result<(), RecordError> {
        self.failed_polls = 0;
        self.role = Some((status.incarnation, status.role));
        let catalog = Arc::clone(&self.context.view.borrow().catalog);
        let whole = self.runner.memory_mib;
        let memory_of = |model: &ModelName| catalog.model(model).map_or(whole, |m| m.memory_mib);
        let context = ReconcileContext {
            is_order_done: &|pending| resolution.is_order_done(pending),
            is_former_owner_done: &|former| resolution.is_former_owner_done(former),
            memory_of: &memory_of,
        };
        let finished = self.handle.record().clone().reconcile(status, &context);
        self.handle
            .change(&TxnExtras::default(), |record| {
                record.reconcile(status, &context);
                Ok::<_, ReservationError>(())
            })
            .await?;
        self.adapters
            .reconcile(status, &|pending| resolution.is_order_done(pending));
        for pending in &finished {
            self.audit_order(pending, AuditEvent::Settled, None);
        }
        let record = self.handle.record();
        let pending_ids = record.orders.iter().chain(self.adapters.orders());
        let pending_ids: Vec<_> = pending_ids.map(PendingOrder::id).collect();
        self.evidence.retain_pending(|id| pending_ids.contains(&id));
        self.permits.retain(|(id, _)| pending_ids.contains(id));
        Ok(())
    }

    /// Counts a failed poll, and marks the runner as unreachable after [`UNREACHABLE_POLLS`].
    async fn record_failed_poll(&mut self) -> Result<(), RecordError> {
        self.failed_polls = self.failed_polls.saturating_add(1);
        if self.failed_polls < UNREACHABLE_POLLS {
            return Ok(());
        }
        self.handle
            .change(&TxnExtras::default(), |record| {
                record.reachable = false;
                Ok::<_, ReservationError>(())
            })
            .await?;
        self.publish_state();
        Ok(())
    }

    /// Publishes the runner's state to this process.
    pub(super) fn publish_state(&self) {
        let mut state = RunnerState::from(self.handle.record());
        state.adapters = self.adapters.residents().to_vec();
        self.context.runner_states.update(state);
    }

    /// Queues an audit record about an order.
    pub(super) fn audit_order(
        &self,
        pending: &PendingOrder,
        event: AuditEvent,
        decision: Option<&str>,
    ) {
        self.context.audit.append(AuditRecord {
            at_ms: unix_now_ms(),
            vm: self.context.me.vm.clone(),
            runner: self.runner.name.clone(),
            epoch: self.handle.epoch(),
            order: pending.id(),
            action: pending.order.action.clone(),
            event,
            decision: decision.map(str::to_owned),
        });
    }

    /// Removes unsent orders from the record before the ownership ends, since a later owner would
    /// have to treat them as unanswered.
    ///
    /// # Errors
    ///
    /// Fails when another owner holds the record or the store fails.
    pub(super) async fn withdraw_before_release(mut self) -> Result<(), RecordError> {
        self.withdraw_unsent().await
    }
}

/// Records that this process sends no more orders to the runner, and ends its ownership.
///
/// # Errors
///
/// Fails when the store fails or other processes keep changing the record.
pub(super) async fn release_runner_record(
    context: &TaskContext,
    runner: &RunnerName,
    fencing: Fencing,
) -> Result<(), RecordError> {
    super::update_record(&context.store, runner, |record| {
        record.release(&context.me, fencing);
    })
    .await
}
