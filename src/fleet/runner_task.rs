//! Drives one owned runner: polls its engine, settles its orders and carries out moves.

use {
    super::{
        AdapterLedger, AdapterPermit, AuditEvent, AuditRecord, Evidence, Extra, LedgerError,
        PendingOrder, QueuedMove, RecordError, RecordHandle, RunnerState, TaskContext,
        audit_log::wall_clock_ms,
        doubt::{Doubts, Verdict},
        free_slot,
    },
    crate::{
        config::{Fencing, Runner},
        engine::{Action, Engine, EngineError, Order, OrderReply, Role, Status},
        units::{AdapterName, MemoryMib, ModelName, OrderId, RunnerName},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Failed polls after which an engine counts as unreachable.
const UNREACHABLE_POLLS: u32 = 3;
/// Polls that an order without an answer waits before the fencing number is raised.
const DOUBT_POLLS: u32 = 2;
/// The first pause between an order and the next poll; it doubles with each poll.
const ORDER_PAUSE_MIN: Duration = Duration::from_millis(20);
/// The part of the adapter pool that an owner may fill before it reads its record again.
const WINDOW_DIVISOR: u64 = 4;

/// How the sending of an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SendOutcome {
    /// The engine did it or refused it.
    Over,
    /// The engine is about it.
    Running,
    /// The order may still take effect.
    InDoubt,
}

/// One runner, for as long as this process owns it.
pub(super) struct RunnerTask {
    pub(super) context: Arc<TaskContext>,
    pub(super) runner: Runner,
    pub(super) engine: Arc<dyn Engine>,
    pub(super) handle: RecordHandle,
    pub(super) adapters: AdapterLedger,
    pub(super) doubts: Doubts,
    role: Role,
    failed_polls: u32,
    doubtful_polls: u32,
    /// Whether a status was seen after all earlier owners' adapter orders were bounded.
    pub(super) adapters_known: bool,
    /// The adapter loads that the engine is about.
    pub(super) permits: Vec<(OrderId, AdapterPermit)>,
    pub(super) moves: Vec<QueuedMove>,
    /// The time to the next poll while an order is fresh.
    order_pause: Duration,
}

impl RunnerTask {
    /// Takes the runner over.
    ///
    /// # Errors
    ///
    /// Fails when the store fails or another owner takes the runner at the same time.
    pub(super) async fn take_over(
        context: Arc<TaskContext>,
        runner: Runner,
        engine: Arc<dyn Engine>,
    ) -> Result<Self, RecordError> {
        let me = context.me.clone();
        let window = adapter_window(&context, &runner);
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
            role: Role::default(),
            failed_polls: 0,
            doubtful_polls: 0,
            adapters_known: false,
            permits: Vec::new(),
            moves: Vec::new(),
            order_pause: ORDER_PAUSE_MIN,
        })
    }

    /// Returns the time until the next poll: short while an order is fresh, so that what it
    /// changed is soon seen.
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

    /// Polls the engine once and brings the record up to what is seen.
    ///
    /// # Errors
    ///
    /// Fails when another owner holds the record or the store fails.
    pub(super) async fn poll(&mut self) -> Result<(), RecordError> {
        let known_epoch = self.context.board.known_epoch(&self.runner.name);
        if known_epoch > self.handle.epoch() {
            return Err(RecordError::Lost);
        }
        if self.waits_for_others()
            && let Err(RecordError::Lost) = self.handle.reload().await
        {
            return Err(RecordError::Lost);
        }
        self.withdraw_unsent().await?;
        self.refresh_runner();
        self.observe_doubts();
        if self.needs_barrier() {
            self.send_barrier().await;
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

    /// Returns whether an earlier owner's word would settle something.
    fn waits_for_others(&self) -> bool {
        let record = self.handle.record();
        let me = self.handle.owner();
        let orders = record.orders.iter();
        let formers = record.former_owners.iter();
        let by_others = orders
            .filter(|open| open.sender != *me && !open.given_up)
            .count();
        let former = formers.filter(|former| !former.given_up).count();
        self.runner.fencing == Fencing::Ignored && by_others + former > 0
    }

    fn refresh_runner(&mut self) {
        let view = self.context.view.borrow().clone();
        if let Some(runner) = view.catalog.runner(&self.runner.name) {
            self.runner = runner.clone();
        }
    }

    fn observe_doubts(&mut self) {
        let view = self.context.view.borrow().clone();
        let me = self.context.me.vm.clone();
        self.doubts.observe(
            self.handle.record(),
            self.adapters.orders().iter(),
            |owner| view.is_gone(owner, &me),
        );
    }

    /// Removes orders whose write was thought to have failed, and which so were never sent.
    async fn withdraw_unsent(&mut self) -> Result<(), RecordError> {
        let orders = self.handle.record().orders.iter();
        let unsent: Vec<_> = orders
            .filter(|open| self.doubts.was_never_sent(open))
            .cloned()
            .collect();
        self.remove(&unsent).await
    }

    /// Removes orders that were never sent, and frees their slots.
    pub(super) async fn remove(&mut self, unsent: &[PendingOrder]) -> Result<(), RecordError> {
        if unsent.is_empty() {
            return Ok(());
        }
        let extra = freed_slots(unsent);
        self.handle
            .change(&extra, |record| {
                for open in unsent {
                    record.withdraw(open.id());
                }
                Ok::<_, LedgerError>(())
            })
            .await
    }

    fn needs_barrier(&self) -> bool {
        let engine_known = self.handle.record().engine.0 > 0;
        engine_known
            && self.runner.fencing == Fencing::Honoured
            && !self.doubts.has_barrier(self.handle.epoch())
    }

    /// Makes the engine refuse whatever carries an earlier fencing number.
    async fn send_barrier(&mut self) {
        let epoch = self.handle.epoch();
        let order = Order {
            id: OrderId::random(),
            epoch,
            incarnation: self.handle.record().engine,
            action: Action::ChangeRole { role: self.role },
        };
        let reply = timeout(self.context.timing.order_timeout, self.engine.send(order)).await;
        if let Ok(Ok(OrderReply::Done | OrderReply::Accepted)) = reply {
            self.doubts.note_barrier(epoch);
        }
    }

    async fn ask_status(&self) -> Option<Status> {
        timeout(self.context.timing.order_timeout, self.engine.status())
            .await
            .ok()?
            .ok()
    }

    async fn settle(&mut self, status: &Status, verdict: &Verdict) -> Result<(), RecordError> {
        self.failed_polls = 0;
        self.role = status.role;
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
            .change(&freed_slots(&finished), |record| {
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

    /// Brings the reserved adapter pool to the configured size when everything fits.
    async fn resize_pool(&mut self) -> Result<(), RecordError> {
        let wanted = self.runner.adapter_pool_mib;
        let reserved = self.handle.record().adapter_pool_mib;
        let shrinks = wanted < reserved;
        if wanted == reserved || (shrinks && !self.pool_may_shrink(wanted)) {
            return Ok(());
        }
        let runner = self.runner.clone();
        let window = adapter_window(&self.context, &runner);
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

    /// Returns the memory of the pool that is held or may still be taken.
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

    /// Raises the fencing number when own orders stay without an answer.
    async fn resolve_doubts(&mut self, status: &Status) -> Result<(), RecordError> {
        let epoch = self.handle.epoch();
        let orders = self.handle.record().orders.iter();
        let in_doubt = orders
            .chain(self.adapters.orders())
            .any(|open| open.order.epoch == epoch && !open.is_in_progress(&status.models));
        if !in_doubt || self.runner.fencing == Fencing::Ignored {
            self.doubtful_polls = 0;
            return Ok(());
        }
        if self.order_pause < self.context.timing.status_interval {
            return Ok(());
        }
        self.doubtful_polls += 1;
        if self.doubtful_polls < DOUBT_POLLS {
            return Ok(());
        }
        self.doubtful_polls = 0;
        self.handle
            .change(&Extra::default(), |record| {
                record.epoch = epoch.next();
                Ok::<_, LedgerError>(())
            })
            .await
    }

    /// Sends a reserved order, once.
    pub(super) async fn send(&mut self, order: Order) -> SendOutcome {
        let id = order.id;
        let answer = timeout(self.context.timing.order_timeout, self.engine.send(order)).await;
        self.doubts.note_returned(id);
        match answer {
            Ok(Ok(OrderReply::Accepted)) => SendOutcome::Running,
            Ok(Err(EngineError::Unknown(_))) | Err(_) => {
                log::warn!("fleet: order {id} to {} has no answer", self.runner.name);
                SendOutcome::InDoubt
            }
            Ok(_) => {
                self.doubts.note_answered(id);
                SendOutcome::Over
            }
        }
    }

    pub(super) fn publish(&self) {
        let mut state = RunnerState::from(self.handle.record());
        state.adapters = self.adapters.residents().to_vec();
        self.context.board.publish(state);
    }

    pub(super) fn audit(&self, open: &PendingOrder, event: AuditEvent, decision: Option<&str>) {
        self.context.audit.note(AuditRecord {
            at_ms: wall_clock_ms(),
            vm: self.context.me.vm.clone(),
            runner: self.runner.name.clone(),
            epoch: self.handle.epoch(),
            order: open.id(),
            action: open.order.action.clone(),
            event,
            decision: decision.map(str::to_owned),
        });
    }

    /// Ends the ownership without having an order that was never sent kept in doubt.
    ///
    /// # Errors
    ///
    /// Fails when another owner holds the record or the store fails.
    pub(super) async fn release(mut self) -> Result<(), RecordError> {
        self.withdraw_unsent().await
    }
}

/// Notes in a runner's record that this process sends nothing more to the runner.
///
/// # Errors
///
/// Fails when the store fails.
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

fn freed_slots(orders: &[PendingOrder]) -> Extra {
    Extra {
        compare: Vec::new(),
        ops: orders
            .iter()
            .filter_map(|open| open.load_slot)
            .map(free_slot)
            .collect(),
    }
}

fn adapter_window(context: &TaskContext, runner: &Runner) -> MemoryMib {
    let catalog = Arc::clone(&context.view.borrow().catalog);
    let largest = catalog
        .adapters
        .iter()
        .map(|adapter| adapter.memory_mib)
        .max();
    let part = MemoryMib(runner.adapter_pool_mib.0 / WINDOW_DIVISOR);
    part.max(largest.unwrap_or_default())
        .min(runner.adapter_pool_mib)
}
