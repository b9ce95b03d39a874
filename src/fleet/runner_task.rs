//! The task of one owned runner, which polls the engine, reconciles the record and executes moves.

use {
    super::{
        AdapterLedger, AdapterPermit, AuditEvent, AuditRecord, Evidence, Extra, LedgerError,
        PendingOrder, QueuedMove, RecordError, RecordHandle, RunnerState, TaskContext,
        order_evidence::{Doubts, Verdict},
    },
    crate::{
        config::{Fencing, Runner},
        engine::{Engine, Role, Status},
        units::{Epoch, Incarnation, ModelName, OrderId, RunnerName, unix_now_ms},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// The number of consecutive failed polls after which an engine counts as unreachable.
const UNREACHABLE_POLLS: u32 = 3;
/// The first delay between an order and the next poll, which doubles with each poll.
const ORDER_PAUSE_MIN: Duration = Duration::from_millis(20);

/// The task of one runner, while this process owns the runner.
pub(super) struct RunnerTask {
    pub(super) context: Arc<TaskContext>,
    pub(super) runner: Runner,
    pub(super) engine: Arc<dyn Engine>,
    pub(super) handle: RecordHandle,
    pub(super) adapters: AdapterLedger,
    pub(super) doubts: Doubts,
    /// The engine's role, with the incarnation that reported it.
    pub(super) role: Option<(Incarnation, Role)>,
    failed_polls: u32,
    pub(super) doubtful_polls: u32,
    /// A newer fencing epoch that the engine named in a refusal.
    pub(super) fenced_by: Option<Epoch>,
    /// Whether a status was received after the adapter orders of all former owners were bounded by
    /// fencing or by their adapter windows.
    pub(super) adapters_known: bool,
    /// The permits of adapter loads in progress.
    pub(super) permits: Vec<(OrderId, AdapterPermit)>,
    pub(super) moves: Vec<QueuedMove>,
    /// The delay before the next poll while an order is pending.
    pub(super) order_pause: Duration,
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
        let known_epoch = context.board.known_epoch(&runner.name);
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
            doubts: Doubts::new(context.me.clone(), handle.epoch()),
            context,
            runner,
            engine,
            handle,
            adapters: AdapterLedger::default(),
            role: None,
            failed_polls: 0,
            doubtful_polls: 0,
            fenced_by: None,
            adapters_known: false,
            permits: Vec::new(),
            moves: Vec::new(),
            order_pause: ORDER_PAUSE_MIN,
        })
    }

    /// Returns the delay before the next poll.
    ///
    /// The delay is short after an order was sent, so that its effect is soon visible.
    pub(super) fn next_pause(&mut self) -> Duration {
        let longest = self.context.timing.status_interval;
        let has_open =
            !self.handle.record().orders.is_empty() || !self.adapters.orders().is_empty();
        if !has_open || self.failed_polls > 0 {
            self.order_pause = ORDER_PAUSE_MIN;
            return longest;
        }
        let pause = self.order_pause.min(longest);
        self.order_pause *= 2;
        pause
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
        self.observe_doubts();
        if self.needs_barrier() && !self.send_barrier().await {
            return self.note_failed_poll().await;
        }
        let verdict = self.doubts.verdict(&self.runner);
        let fenced_off = self.doubts.is_fenced_off() || self.runner.fencing == Fencing::Ignored;
        match self.ask_status().await {
            Some(status) => {
                self.settle(&status, &verdict).await?;
                self.adapters_known |= fenced_off;
                self.publish();
                self.resize_pool().await?;
                self.resolve_doubts(&status).await
            }
            None => self.note_failed_poll().await,
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
    pub(super) async fn ask_status(&self) -> Option<Status> {
        timeout(self.context.timing.order_timeout, self.engine.status())
            .await
            .ok()?
            .ok()
    }

    /// Updates the record and the adapter accounting from a status, and audits finished orders.
    async fn settle(&mut self, status: &Status, verdict: &Verdict) -> Result<(), RecordError> {
        self.failed_polls = 0;
        self.role = Some((status.incarnation, status.role));
        let catalog = Arc::clone(&self.context.view.borrow().catalog);
        let whole = self.runner.memory_mib;
        let memory_of = |model: &ModelName| catalog.model(model).map_or(whole, |m| m.memory_mib);
        let evidence = Evidence {
            is_over: &|open| verdict.is_over(open),
            is_former_over: &|former| verdict.is_former_over(former),
            memory_of: &memory_of,
        };
        let finished = self.handle.record().clone().settle(status, &evidence);
        self.handle
            .change(&Extra::default(), |record| {
                record.settle(status, &evidence);
                Ok::<_, LedgerError>(())
            })
            .await?;
        self.adapters.settle(status, &|open| verdict.is_over(open));
        for open in &finished {
            self.audit(open, AuditEvent::Settled, None);
        }
        let record = self.handle.record();
        let open_ids = record.orders.iter().chain(self.adapters.orders());
        let open_ids: Vec<_> = open_ids.map(PendingOrder::id).collect();
        self.doubts.forget_settled(|id| open_ids.contains(&id));
        self.permits.retain(|(id, _)| open_ids.contains(id));
        Ok(())
    }

    /// Counts a failed poll, and marks the runner as unreachable after [`UNREACHABLE_POLLS`].
    async fn note_failed_poll(&mut self) -> Result<(), RecordError> {
        self.failed_polls = self.failed_polls.saturating_add(1);
        if self.failed_polls < UNREACHABLE_POLLS {
            return Ok(());
        }
        self.handle
            .change(&Extra::default(), |record| {
                record.reachable = false;
                Ok::<_, LedgerError>(())
            })
            .await?;
        self.publish();
        Ok(())
    }

    /// Publishes the runner's state to this process.
    pub(super) fn publish(&self) {
        let mut state = RunnerState::from(self.handle.record());
        state.adapters = self.adapters.residents().to_vec();
        self.context.board.publish(state);
    }

    /// Queues an audit record about an order.
    pub(super) fn audit(&self, open: &PendingOrder, event: AuditEvent, decision: Option<&str>) {
        self.context.audit.note(AuditRecord {
            at_ms: unix_now_ms(),
            vm: self.context.me.vm.clone(),
            runner: self.runner.name.clone(),
            epoch: self.handle.epoch(),
            order: open.id(),
            action: open.order.action.clone(),
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
    pub(super) async fn release(mut self) -> Result<(), RecordError> {
        self.withdraw_unsent().await
    }
}

/// Records that this process sends no more orders to the runner, and ends its ownership.
///
/// # Errors
///
/// Fails when the store fails or other processes keep changing the record.
pub(super) async fn give_up_runner(
    context: &TaskContext,
    runner: &RunnerName,
    fencing: Fencing,
) -> Result<(), RecordError> {
    super::give_up(&context.store, runner, |record| {
        record.give_up(&context.me, fencing);
    })
    .await
}
