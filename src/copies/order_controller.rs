//! Tracks the state of all runners and sends the planned orders.

use {
    super::{
        ColdLoadLimiter, LoadEstimator, OrderTask, PlanInput, PlannedRunner, UnansweredOrders,
        left_out::AbsenceLog,
        order_calls::{CallResult, Calls},
        order_log::log_order,
        plan::plan_with_left_out,
        residency_diff::push_residency_changes,
        runner_record::RunnerRecord,
        service_state::{ServiceState, count_loads_in_progress},
    },
    crate::{
        discovery::RunnerKey,
        dispatch::{ModelDemand, ResidencyChange, RunnerView},
        leader::Term,
        traffic::{AdapterId, EngineSpec, ModelId, ServiceId, TrafficConfig},
    },
    futures::future::FutureExt,
    std::time::Duration,
    tokio::time::Instant,
};

/// The number of adapters that all runners of a service may load at once if there are fewer runners.
///
/// With more runners, each may load one: a load whose order has no answer counts until a report
/// shows whether it began, and its runner takes no other order.
const ADAPTER_LOADS_MIN: usize = 16;
/// How long no models are moved after the first runners of a term are seen, so that a runner list
/// that is still incomplete is not mistaken for lost runners.
const TERM_SETTLE_TIME: Duration = Duration::from_millis(700);

/// Tracks the state of all runners, and plans and sends orders.
pub(super) struct OrderController {
    /// The settings and connections of the task.
    pub task: OrderTask,
    /// The calls to runners in progress.
    pub calls: Calls,
    /// The tracked runners, sorted by key.
    pub(super) records: Vec<RunnerRecord>,
    /// The state of each service with an engine.
    pub(super) services: Vec<ServiceState>,
    /// Orders that have no reply yet.
    pub(super) unanswered_orders: UnansweredOrders,
    /// The residency changes that have not been broadcast yet.
    pub(super) changes: Vec<ResidencyChange>,
    /// The fencing token of the current term.
    pub(super) token: u64,
    /// Whether this term began with a wait for another leader's term to end.
    waited: bool,
    /// When the first runner was seen in this term.
    runners_seen_at: Option<Instant>,
    /// The highest fencing token that a runner rejected.
    pub fenced_token: u64,
}

impl OrderController {
    /// Creates a controller that tracks no runner yet.
    pub fn new(task: OrderTask) -> Self {
        Self {
            task,
            calls: Calls::new(),
            records: Vec::new(),
            services: Vec::new(),
            unanswered_orders: UnansweredOrders::default(),
            changes: Vec::new(),
            token: 0,
            waited: false,
            runners_seen_at: None,
            fenced_token: 0,
        }
    }

    /// Begins a term, unless it is the current one.
    ///
    /// The tracked state of runners is discarded, as another leader may have sent orders since.
    pub fn begin_term(&mut self, term: &Term) {
        if self.token != term.fencing_token {
            self.token = term.fencing_token;
            self.waited = term.waits_for_leader && term.orders_from > Instant::now();
            self.records.clear();
            self.runners_seen_at = None;
        }
    }

    /// Updates the tracked state, requests the reports that are due, and plans and sends orders
    /// if `may_order`.
    pub fn reconcile(&mut self, may_order: bool, now: Instant) {
        let Some(table) = self.task.active_config.current() else {
            return;
        };
        let config = table.config();
        let views = self.task.registry.runners();
        let demand = self.task.registry.demand();
        self.sync_records(config, &views, now);
        self.request_reports(now);
        for spec in &config.services {
            if let Some(engine) = &spec.engine {
                self.plan_service(&spec.name, engine, &views, &demand, may_order, now);
            }
        }
        self.broadcast_changes();
    }

    /// Returns the latest time for the next pass.
    pub fn next_deadline(&self) -> Option<Instant> {
        let due = self.records.iter().filter_map(RunnerRecord::next_deadline);
        due.min()
    }

    /// Updates the records from the current runners of the services that have an engine.
    fn sync_records(&mut self, config: &TrafficConfig, views: &[RunnerView], now: Instant) {
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
            self.runners_seen_at.get_or_insert(now);
            let key = &view.entry.key;
            let found = self.find(key);
            let position = found.unwrap_or_else(|position| {
                self.records.insert(position, RunnerRecord::new(view, now));
                position
            });
            let record = &mut self.records[position];
            let residents_before = record.state.residents();
            record.sync(view, now);
            let residents_after = record.state.residents();
            push_residency_changes(&mut self.changes, key, &residents_before, &residents_after);
            let listed = listed_residents(view);
            if record.needs_rebroadcast(listed != residents_after, now) {
                push_residency_changes(&mut self.changes, key, &listed, &residents_after);
            }
        }
    }

    /// Returns the position of a runner's record, or where it would be inserted.
    pub(super) fn find(&self, key: &RunnerKey) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.state.key.cmp(key))
    }

    /// Requests the reports that are due.
    fn request_reports(&mut self, now: Instant) {
        let records = self.records.iter_mut();
        for record in records.filter(|record| record.is_report_due(now)) {
            record.report_requested();
            let control = self.task.control.clone();
            let runner = record.state.key.clone();
            let address = record.address;
            let call = async move {
                let report = control.report(address, &runner).await;
                CallResult::Report { runner, report }
            };
            self.calls.push(call.boxed());
        }
    }

    /// Updates the load of a service, and plans and sends its orders if `may_order`.
    fn plan_service(
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
        let position = self.service_index(service, engine, now);
        let loads = self.services[position]
            .estimator
            .update(&demand, &views, now);
        if !may_order {
            return;
        }
        let runners = self.planned_runners(service, engine, now);
        let loads_in_progress = count_loads_in_progress(&runners);
        let input = PlanInput {
            engine,
            runners: &runners,
            loads: &loads,
            mean_request_time_s: self.services[position].estimator.mean_request_time_s(),
            may_move_models: self
                .runners_seen_at
                .is_some_and(|seen| now.duration_since(seen) >= TERM_SETTLE_TIME),
            may_add_copies: !self.services[position].estimator.is_warming_up(now),
            cold_loads_available: self.services[position].limiter.available(
                engine,
                loads_in_progress.cold_models,
                now,
            ),
            idle_loads_available: self.services[position].limiter.available_for_idle(
                engine,
                loads_in_progress.cold_models,
                now,
            ),
            adapter_loads_available: adapter_loads_max(&runners)
                .saturating_sub(loads_in_progress.adapters),
            now,
        };
        let began_at = Instant::now();
        let (orders, left_out) = plan_with_left_out(&input);
        self.task.counters.plan_times.record(began_at.elapsed());
        self.task.counters.record_left_out(&left_out);
        self.services[position].absences.record(&left_out, now);
        for planned in orders {
            if planned.is_cold_load {
                self.services[position].limiter.record_start(now);
                self.task.counters.cold_loads.count();
            }
            log_order(&planned, self.token, &loads);
            self.send(planned, now);
        }
    }

    /// Returns the position of a service's state, which is created if missing and brought up to
    /// the current window and term.
    fn service_index(&mut self, service: &ServiceId, engine: &EngineSpec, now: Instant) -> usize {
        let bounds = *self.task.bounds.borrow();
        let window = Duration::from_secs_f64(bounds.ceiling_window_s.max(0.0));
        let mut services = self.services.iter();
        let position = match services.position(|state| state.service == *service) {
            Some(position) => position,
            None => {
                self.services.push(ServiceState {
                    service: service.clone(),
                    estimator: LoadEstimator::default(),
                    limiter: ColdLoadLimiter::new(window),
                    absences: AbsenceLog::default(),
                    token: 0,
                });
                self.services.len() - 1
            }
        };
        let state = &mut self.services[position];
        state.limiter.set_window(engine, window, now);
        if state.token != self.token {
            state.token = self.token;
            // No third leader can follow within the window after one that had to wait.
            let waited = self.waited && window <= 2 * Duration::from_millis(bounds.lease_ms);
            state.limiter.begin_term(engine, waited, now);
        }
        position
    }

    /// Returns a service's runners for the planner, with memory reserved for unanswered orders.
    fn planned_runners(
        &self,
        service: &ServiceId,
        engine: &EngineSpec,
        now: Instant,
    ) -> Vec<PlannedRunner> {
        let records = self.records.iter();
        let records = records.filter(|record| record.service == *service);
        let runners = records.map(|record| {
            let key = &record.state.key;
            let (reserved_mb, reserved_slots) = self.unanswered_orders.reserved(key, engine, now);
            PlannedRunner {
                reserved_mb,
                reserved_slots,
                ..record.state.clone()
            }
        });
        runners.collect()
    }

    /// Broadcasts the residency changes since the last call.
    fn broadcast_changes(&mut self) {
        if !self.changes.is_empty() {
            let changes = std::mem::take(&mut self.changes);
            self.task.broadcaster.broadcast(&changes);
        }
    }
}

/// Returns how many adapters the runners of a service may load at once.
fn adapter_loads_max(runners: &[PlannedRunner]) -> usize {
    let ready = runners.iter().filter(|runner| runner.is_ready);
    ready.count().max(ADAPTER_LOADS_MIN)
}

/// Returns the models and adapters that a runner's entry lists, sorted.
fn listed_residents(view: &RunnerView) -> Vec<(ModelId, Option<AdapterId>)> {
    let mut residents = Vec::new();
    for resident in &view.entry.models {
        residents.push((resident.model.clone(), None));
        let adapters = resident.adapters.iter().cloned();
        residents.extend(adapters.map(|adapter| (resident.model.clone(), Some(adapter))));
    }
    residents.sort();
    residents
}
