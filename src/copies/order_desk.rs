//! Keeps the accounts of all runners and sends the planned orders.

use {
    super::{
        Doubts, LoadEstimator, LoadPacer, OrderTask, PlanInput, PlannedOrder, RunnerState,
        note_diff::push_changes,
        order_log::log_order,
        plan,
        runner_record::RunnerRecord,
        service_desk::{ServiceDesk, count_coming, pace_late},
    },
    crate::{
        discovery::RunnerKey,
        dispatch::{ModelDemand, ResidencyChange, RunnerView},
        leader::Term,
        node::{Order, OrderCall, OrderReply, OrderUnknown, RunnerReport},
        traffic::{AdapterId, EngineSpec, ModelId, ServiceId, TrafficConfig},
    },
    futures::{
        future::{BoxFuture, FutureExt},
        stream::FuturesUnordered,
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// The adapters that may be on their way to all runners of a service at once.
const ADAPTERS_COMING_MAX: usize = 16;
/// How long the runners of a new term are only looked at, so that a list that is still coming in
/// does not look like a loss.
const SETTLE: Duration = Duration::from_millis(700);

/// What came of a call to a runner.
pub(super) enum CallDone {
    /// An order.
    Order {
        runner: RunnerKey,
        token: u64,
        order: Order,
        reply: Result<OrderReply, OrderUnknown>,
    },
    /// A report.
    Report {
        runner: RunnerKey,
        report: Result<RunnerReport, OrderUnknown>,
    },
}

/// The calls that are under way.
pub(super) type Calls = FuturesUnordered<BoxFuture<'static, CallDone>>;

/// Keeps the accounts of all runners and sends the planned orders.
pub(super) struct OrderDesk {
    pub task: OrderTask,
    pub calls: Calls,
    /// Sorted by runner.
    records: Vec<RunnerRecord>,
    services: Vec<ServiceDesk>,
    doubts: Doubts,
    notes: Vec<ResidencyChange>,
    /// The token of the present term.
    token: u64,
    /// Whether this term began with a wait for another holder.
    waits: bool,
    /// When runners were first seen in this term.
    seen_at: Option<Instant>,
    /// The highest token that a runner refused.
    pub fenced_token: u64,
}

impl OrderDesk {
    pub fn new(task: OrderTask) -> Self {
        Self {
            task,
            calls: Calls::new(),
            records: Vec::new(),
            services: Vec::new(),
            doubts: Doubts::default(),
            notes: Vec::new(),
            token: 0,
            waits: false,
            seen_at: None,
            fenced_token: 0,
        }
    }

    /// Begins a term, unless it goes on.
    ///
    /// What runners hold is found out anew: another holder may have given orders meanwhile.
    pub fn begin_term(&mut self, term: &Term) {
        if self.token != term.fencing_token {
            self.token = term.fencing_token;
            self.waits = term.orders_from > Instant::now();
            self.records.clear();
            self.seen_at = None;
        }
    }

    /// Brings the accounts up to date, asks for reports, and sends what the plan says.
    pub fn pass(&mut self, may_order: bool, now: Instant) {
        let Some(map) = self.task.traffic.current() else {
            return;
        };
        let config = map.config();
        let views = self.task.board.runners();
        let demand = self.task.board.demand();
        self.sync(config, &views, now);
        self.ask_reports(now);
        for spec in &config.services {
            if let Some(engine) = &spec.engine {
                self.order_service(&spec.name, engine, &views, &demand, may_order, now);
            }
        }
        self.tell();
    }

    /// Returns when to make the next pass at the latest.
    pub fn next_due(&self) -> Option<Instant> {
        let due = self.records.iter().filter_map(RunnerRecord::next_due);
        due.min()
    }

    fn sync(&mut self, config: &TrafficConfig, views: &[RunnerView], now: Instant) {
        let has_engine = |service: &ServiceId| {
            let spec = config.service(service);
            spec.is_some_and(|spec| spec.engine.is_some())
        };
        let views = views.iter();
        let views: Vec<&RunnerView> = views
            .filter(|view| has_engine(&view.entry.service))
            .collect();
        self.records
            .retain(|record| views.iter().any(|view| view.entry.key == record.state.key));
        for view in views {
            self.seen_at.get_or_insert(now);
            let key = &view.entry.key;
            let found = self.find(key);
            let position = found.unwrap_or_else(|position| {
                self.records.insert(position, RunnerRecord::new(view, now));
                position
            });
            let record = &mut self.records[position];
            let held = record.state.held();
            record.sync(view, now);
            let held_now = record.state.held();
            push_changes(&mut self.notes, key, &held, &held_now);
            let listed = listed(view);
            if record.retells(listed != held_now, now) {
                push_changes(&mut self.notes, key, &listed, &held_now);
            }
        }
    }

    fn find(&self, key: &RunnerKey) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.state.key.cmp(key))
    }

    fn ask_reports(&mut self, now: Instant) {
        let records = self.records.iter_mut();
        for record in records.filter(|record| record.wants_report(now)) {
            record.asked();
            let control = self.task.control.clone();
            let runner = record.state.key.clone();
            let address = record.address;
            let call = async move {
                let report = control.report(address, &runner).await;
                CallDone::Report { runner, report }
            };
            self.calls.push(call.boxed());
        }
    }

    fn order_service(
        &mut self,
        service: &ServiceId,
        engine: &EngineSpec,
        views: &[RunnerView],
        demand: &[ModelDemand],
        may_order: bool,
        now: Instant,
    ) {
        let demand = demand.iter().filter(|row| row.service == *service);
        let demand: Vec<ModelDemand> = demand.cloned().collect();
        let views = views.iter().filter(|view| view.entry.service == *service);
        let views: Vec<RunnerView> = views.cloned().collect();
        let position = self.service_position(service, engine, now);
        let loads = self.services[position]
            .estimator
            .update(&demand, &views, now);
        if !may_order {
            return;
        }
        let runners = self.states(service, engine, now);
        let coming = count_coming(&runners);
        let input = PlanInput {
            engine,
            runners: &runners,
            loads: &loads,
            run_time_s: self.services[position].estimator.run_time_s(),
            moves_models: self
                .seen_at
                .is_some_and(|seen| now.duration_since(seen) >= SETTLE),
            adds_copies: !self.services[position].estimator.is_beginning(now),
            cold_loads_left: self.services[position]
                .pacer
                .left(engine, coming.cold_models, now),
            adapters_left: ADAPTERS_COMING_MAX.saturating_sub(coming.adapters),
            now,
        };
        for planned in plan(&input) {
            if planned.is_cold {
                self.services[position].pacer.started(now);
                self.task.counts.cold_loads.count();
            }
            log_order(&planned, self.token, &loads);
            self.send(planned, now);
        }
    }

    fn service_position(
        &mut self,
        service: &ServiceId,
        engine: &EngineSpec,
        now: Instant,
    ) -> usize {
        let bounds = *self.task.bounds.borrow();
        let window = Duration::from_secs_f64(bounds.ceiling_window_s.max(0.0));
        let mut services = self.services.iter();
        let position = match services.position(|desk| desk.service == *service) {
            Some(position) => position,
            None => {
                self.services.push(ServiceDesk {
                    service: service.clone(),
                    estimator: LoadEstimator::default(),
                    pacer: LoadPacer::new(window),
                    token: 0,
                });
                self.services.len() - 1
            }
        };
        let desk = &mut self.services[position];
        desk.pacer.set_window(engine, window, now);
        if desk.token != self.token {
            desk.token = self.token;
            // Within the window no third holder can follow one that waited.
            let waits = self.waits && window <= 2 * Duration::from_millis(bounds.lease_ms);
            desk.pacer.begin_term(engine, waits, now);
        }
        position
    }

    fn states(&self, service: &ServiceId, engine: &EngineSpec, now: Instant) -> Vec<RunnerState> {
        let records = self.records.iter();
        let records = records.filter(|record| record.service == *service);
        let states = records.map(|record| {
            let key = &record.state.key;
            let (reserved_mb, reserved_slots) = self.doubts.reserved(key, engine, now);
            RunnerState {
                reserved_mb,
                reserved_slots,
                ..record.state.clone()
            }
        });
        states.collect()
    }

    fn send(&mut self, planned: PlannedOrder, now: Instant) {
        let Ok(position) = self.find(&planned.runner) else {
            return;
        };
        let record = &mut self.records[position];
        let held = record.state.held();
        record.sent(&planned, now);
        push_changes(
            &mut self.notes,
            &planned.runner,
            &held,
            &record.state.held(),
        );
        let PlannedOrder { runner, order, .. } = planned;
        self.doubts.add(runner.clone(), order.clone(), now);
        let call = OrderCall {
            address: record.address,
            runner,
            order,
            holder: self.task.node.clone(),
            fencing_token: self.token,
            expected_orders: record.count,
        };
        let control = self.task.control.clone();
        let call = async move {
            let reply = control.order(&call).await;
            CallDone::Order {
                runner: call.runner,
                token: call.fencing_token,
                order: call.order,
                reply,
            }
        };
        self.calls.push(call.boxed());
    }

    /// Works in what came of a call.
    pub fn done(&mut self, done: CallDone, now: Instant) {
        match done {
            CallDone::Report { runner, report } => {
                if let Ok(position) = self.find(&runner) {
                    let record = &mut self.records[position];
                    let held = record.state.held();
                    record.reported(&report, now);
                    push_changes(&mut self.notes, &runner, &held, &record.state.held());
                }
            }
            CallDone::Order {
                runner,
                token,
                order,
                reply,
            } => self.answered(&runner, token, &order, &reply, now),
        }
    }

    fn answered(
        &mut self,
        runner: &RunnerKey,
        token: u64,
        order: &Order,
        reply: &Result<OrderReply, OrderUnknown>,
        now: Instant,
    ) {
        self.task.counts.answered(order, reply);
        if reply.is_ok() {
            self.doubts.settle(runner, order);
        }
        if *reply == Ok(OrderReply::Fenced) {
            log::warn!(
                runner:% = runner.id, born_unix_ms = runner.born_unix_ms, fencing_token = token;
                "copies: a runner has seen a higher fencing token."
            );
            self.fenced_token = self.fenced_token.max(token);
        }
        let map = self.task.traffic.current();
        let Ok(position) = self.find(runner) else {
            return;
        };
        let record = &mut self.records[position];
        let spec = map
            .as_ref()
            .and_then(|map| map.config().service(&record.service));
        let Some(engine) = spec.and_then(|spec| spec.engine.as_ref()) else {
            return;
        };
        // Answers to orders of an earlier term concern a record that was begun anew.
        if token == self.token {
            pace_late(&mut self.services, record, order, reply, now);
            let held = record.state.held();
            record.answered(reply, engine, now);
            push_changes(&mut self.notes, runner, &held, &record.state.held());
        }
    }

    fn tell(&mut self) {
        if !self.notes.is_empty() {
            let notes = std::mem::take(&mut self.notes);
            self.task.listener.changed(&notes);
        }
    }
}

/// Returns what a runner's entry lists, sorted.
fn listed(view: &RunnerView) -> Vec<(ModelId, Option<AdapterId>)> {
    let mut listed = Vec::new();
    for held in &view.entry.models {
        listed.push((held.model.clone(), None));
        let adapters = held.adapters.iter().cloned();
        listed.extend(adapters.map(|adapter| (held.model.clone(), Some(adapter))));
    }
    listed.sort();
    listed
}
