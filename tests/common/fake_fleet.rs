//! A fleet of fake runners that execute orders as the platform's runners do, with injected faults.

use {
    futures::future::{BoxFuture, FutureExt},
    greengagetrail::{
        copies::ResidencyBroadcaster,
        discovery::{ResidentModel, RunnerEntry, RunnerKey, RunnerState},
        dispatch::{ResidencyChange, RunnerRegistry},
        node::{Order, OrderCall, OrderReply, RunnerCallError, RunnerControl, RunnerReport},
        traffic::{AdapterId, EngineSpec, ModelId},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// The time from sending a call to its reply.
const REPLY_DELAY_MS: u64 = 2;
/// The time after which a call without a reply fails.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// The maximum delay of a late order.
const LATE_ORDER_MAX_MS: u64 = 9_000;
/// The age of the state in a report.
const REPORT_AGE: Duration = Duration::from_millis(200);

/// An order that a fake runner is executing.
#[derive(Debug, Clone)]
struct OrderInProgress {
    order: Order,
    ends_at: Instant,
}

/// A fake runner.
#[derive(Debug, Clone)]
pub struct FakeRunner {
    pub key: RunnerKey,
    pub models: Vec<ResidentModel>,
    pub accepted_orders: u64,
    pub is_draining: bool,
    highest_token: u64,
    in_progress: Option<OrderInProgress>,
    loading_adapters: Vec<(ModelId, AdapterId, Instant)>,
    /// The adapters that requests use, whose unload waits for the end of these requests.
    pub adapters_in_use: Vec<AdapterId>,
    unloading_adapters: Vec<(ModelId, AdapterId)>,
    on_disk: Vec<ModelId>,
    past_reports: Vec<(Instant, RunnerReport)>,
}

/// The calls and broadcasts that the fleet received.
#[derive(Debug, Default)]
pub struct Observed {
    /// Accepted orders that exceeded the memory or the adapter slots of a runner.
    pub violations: Vec<String>,
    /// When loads from the weight store started.
    pub cold_starts: Vec<Instant>,
    /// Orders that arrived, accepted or not, with their fencing tokens.
    pub orders: Vec<(Instant, u64, Order, OrderReply)>,
    /// The number of report calls.
    pub reports: usize,
    /// The residency changes that were broadcast.
    pub changes: Vec<(Instant, ResidencyChange)>,
}

/// The faults that are injected into orders.
#[derive(Debug, Clone, Copy, Default)]
pub struct OrderFaults {
    /// The share of orders that never arrive, in percent.
    pub lost_percent: u32,
    /// The share of orders that arrive late, in percent.
    pub late_percent: u32,
    /// The share of orders that are executed without a reply, in percent.
    pub unanswered_percent: u32,
}

/// A fleet of fake runners.
pub struct FakeFleet {
    pub engine: EngineSpec,
    pub registry: Arc<RunnerRegistry>,
    runners: Mutex<Vec<FakeRunner>>,
    observed: Mutex<Observed>,
    faults: Mutex<OrderFaults>,
    rng: Mutex<SmallRng>,
}

impl FakeFleet {
    /// Creates one runner for each entry of `held`, with the models that it lists.
    pub fn new(
        engine: EngineSpec,
        registry: Arc<RunnerRegistry>,
        held: Vec<Vec<ModelId>>,
        seed: u64,
    ) -> Arc<Self> {
        let runner = |(index, models): (usize, Vec<ModelId>)| FakeRunner {
            key: RunnerKey {
                id: format!("r{index:02}").as_str().into(),
                born_unix_ms: 1,
            },
            models: models.into_iter().map(resident).collect(),
            accepted_orders: 0,
            is_draining: false,
            highest_token: 0,
            in_progress: None,
            loading_adapters: Vec::new(),
            adapters_in_use: Vec::new(),
            unloading_adapters: Vec::new(),
            on_disk: Vec::new(),
            past_reports: Vec::new(),
        };
        Arc::new(Self {
            engine,
            registry,
            runners: Mutex::new(held.into_iter().enumerate().map(runner).collect()),
            observed: Mutex::default(),
            faults: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        })
    }

    pub fn runners(&self) -> MutexGuard<'_, Vec<FakeRunner>> {
        self.runners.lock().unwrap()
    }

    pub fn observed(&self) -> MutexGuard<'_, Observed> {
        self.observed.lock().unwrap()
    }

    pub fn set_faults(&self, faults: OrderFaults) {
        *self.faults.lock().unwrap() = faults;
    }

    /// Returns how many runners that are not draining hold a model.
    pub fn count_held(&self, model: &ModelId) -> usize {
        let runners = self.runners();
        let ready = runners.iter().filter(|runner| !runner.is_draining);
        let held = ready.filter(|r| r.models.iter().any(|held| held.model == *model));
        held.count()
    }

    /// Restarts a runner under its name with empty memory.
    pub fn restart(&self, at: usize) {
        let runner = &mut self.runners()[at];
        runner.key.born_unix_ms += 1;
        runner.models.clear();
        runner.accepted_orders = 0;
        runner.highest_token = 0;
        runner.in_progress = None;
        runner.loading_adapters.clear();
        runner.unloading_adapters.clear();
        runner.past_reports.clear();
    }

    /// Publishes the runner list every `interval` and whenever a model was loaded or unloaded.
    pub async fn run(self: Arc<Self>, interval: Duration) {
        let mut listed_at = Instant::now() - interval;
        loop {
            let changed = self.finish_due();
            if changed || listed_at.elapsed() >= interval {
                listed_at = Instant::now();
                let entries = self.runners().iter().map(entry).collect();
                self.registry.set_runners(entries);
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Finishes the orders that are due; returns whether a model was loaded or unloaded.
    fn finish_due(&self) -> bool {
        let now = Instant::now();
        let mut changed = false;
        for runner in self.runners().iter_mut() {
            changed |= runner.finish_due(now);
        }
        changed
    }

    fn execute(&self, call: &OrderCall) -> OrderReply {
        let now = Instant::now();
        let mut runners = self.runners();
        let found = runners.iter_mut().find(|r| address(r) == call.address);
        let Some(runner) = found else {
            return OrderReply::WrongRunner;
        };
        if runner.key.id != call.runner.id {
            return OrderReply::WrongRunner;
        }
        runner.finish_due(now);
        let reply = runner.handle_order(call, &self.engine, now, &mut self.observed());
        runner.record_report(now);
        let mut observed = self.observed();
        let order = call.order.clone();
        observed
            .orders
            .push((now, call.fencing_token, order, reply));
        reply
    }

    fn draw_faults(&self) -> (bool, Option<Duration>, bool) {
        let faults = *self.faults.lock().unwrap();
        let mut rng = self.rng.lock().unwrap();
        let mut draw = |percent| rng.random_range(0..100) < percent;
        let lost = draw(faults.lost_percent);
        let late = draw(faults.late_percent);
        let unanswered = draw(faults.unanswered_percent);
        let delay = late.then(|| Duration::from_millis(rng.random_range(0..LATE_ORDER_MAX_MS)));
        (lost, delay, unanswered)
    }
}

/// The connection of the task under test to the fleet.
pub struct FleetConnection(pub Arc<FakeFleet>);

impl RunnerControl for FleetConnection {
    fn order<'a>(
        &'a self,
        call: &'a OrderCall,
    ) -> BoxFuture<'a, Result<OrderReply, RunnerCallError>> {
        async move {
            sleep(Duration::from_millis(REPLY_DELAY_MS)).await;
            let (lost, delay, unanswered) = self.0.draw_faults();
            let (fleet, late) = (self.0.clone(), call.clone());
            match (lost, delay) {
                (true, _) => {}
                (_, Some(delay)) => drop(tokio::spawn(async move {
                    sleep(delay).await;
                    fleet.execute(&late);
                })),
                (false, None) => {
                    let reply = fleet.execute(call);
                    if !unanswered {
                        return Ok(reply);
                    }
                }
            }
            sleep(Duration::from_millis(CALL_TIMEOUT_MS)).await;
            Err(RunnerCallError("no reply in time".to_owned()))
        }
        .boxed()
    }

    fn report<'a>(
        &'a self,
        address: SocketAddr,
        _runner: &'a RunnerKey,
    ) -> BoxFuture<'a, Result<RunnerReport, RunnerCallError>> {
        async move {
            sleep(Duration::from_millis(REPLY_DELAY_MS)).await;
            self.0.observed().reports += 1;
            self.0.finish_due();
            let now = Instant::now();
            let mut runners = self.0.runners();
            let found = runners.iter_mut().find(|r| self::address(r) == address);
            let runner =
                found.ok_or_else(|| RunnerCallError("no runner at this address".to_owned()))?;
            runner.record_report(now);
            Ok(runner.delayed_report(now))
        }
        .boxed()
    }
}

impl ResidencyBroadcaster for FleetConnection {
    fn broadcast(&self, changes: &[ResidencyChange]) {
        let now = Instant::now();
        for change in changes {
            self.0.registry.apply_residency_change(change);
            self.0.observed().changes.push((now, change.clone()));
        }
    }
}

impl FakeRunner {
    fn holds(&self, model: &ModelId) -> Option<&ResidentModel> {
        self.models.iter().find(|held| held.model == *model)
    }

    fn finish_due(&mut self, now: Instant) -> bool {
        let mut changed = false;
        let (due, later) = std::mem::take(&mut self.loading_adapters)
            .into_iter()
            .partition::<Vec<_>, _>(|(.., ends_at)| *ends_at <= now);
        self.loading_adapters = later;
        for (model, adapter, _) in due {
            let mut models = self.models.iter_mut();
            if let Some(held) = models.find(|held| held.model == model) {
                held.adapters.push(adapter);
                held.adapters.sort();
            }
        }
        let in_use = &self.adapters_in_use;
        let models = &mut self.models;
        self.unloading_adapters.retain(|(model, adapter)| {
            let waits = in_use.contains(adapter);
            if let Some(held) = models.iter_mut().find(|held| held.model == *model)
                && !waits
            {
                held.adapters.retain(|known| known != adapter);
            }
            waits
        });
        if let Some(in_progress) = self
            .in_progress
            .take_if(|in_progress| in_progress.ends_at <= now)
        {
            match in_progress.order {
                Order::LoadModel(model) => {
                    self.on_disk.push(model.clone());
                    self.models.push(resident(model));
                    self.models.sort_by(|a, b| a.model.cmp(&b.model));
                }
                Order::UnloadModel(model) => self.models.retain(|held| held.model != model),
                Order::LoadAdapter(..) | Order::UnloadAdapter(..) => {}
            }
            changed = true;
        }
        self.record_report(now);
        changed
    }

    fn handle_order(
        &mut self,
        call: &OrderCall,
        engine: &EngineSpec,
        now: Instant,
        observed: &mut Observed,
    ) -> OrderReply {
        if call.fencing_token < self.highest_token {
            return OrderReply::Fenced;
        }
        self.highest_token = call.fencing_token;
        let differs = call
            .expected_orders
            .is_some_and(|count| count != self.accepted_orders);
        if differs || self.in_progress.is_some() {
            return OrderReply::Conflict;
        }
        let ends_at = |ms| now + Duration::from_millis(ms);
        match &call.order {
            Order::LoadModel(model) if self.holds(model).is_some() => {
                return OrderReply::AlreadyDone;
            }
            Order::LoadModel(model) => {
                let is_cold = !self.on_disk.contains(model);
                if is_cold {
                    observed.cold_starts.push(now);
                }
                self.in_progress = Some(OrderInProgress {
                    order: call.order.clone(),
                    ends_at: ends_at(if is_cold { 1_200 } else { 740 }),
                });
            }
            Order::UnloadModel(model) if self.holds(model).is_none() => {
                return OrderReply::AlreadyDone;
            }
            Order::UnloadModel(_) => {
                self.in_progress = Some(OrderInProgress {
                    order: call.order.clone(),
                    ends_at: ends_at(50),
                });
            }
            Order::LoadAdapter(model, adapter) => {
                let Some(held) = self.holds(model) else {
                    return OrderReply::Refused;
                };
                if held.adapters.contains(adapter) {
                    return OrderReply::AlreadyDone;
                }
                let loading = (model.clone(), adapter.clone(), ends_at(14));
                self.loading_adapters.push(loading);
            }
            Order::UnloadAdapter(model, adapter) if self.adapters_in_use.contains(adapter) => {
                let unloading = (model.clone(), adapter.clone());
                self.unloading_adapters.push(unloading);
            }
            Order::UnloadAdapter(model, adapter) => {
                let mut models = self.models.iter_mut();
                if let Some(held) = models.find(|held| held.model == *model) {
                    held.adapters.retain(|known| known != adapter);
                }
                self.accepted_orders += 1;
                return OrderReply::AlreadyDone;
            }
        }
        self.accepted_orders += 1;
        self.check_memory(engine, observed);
        OrderReply::Accepted
    }

    /// Records a violation if the copies exceed the memory or the adapter slots.
    fn check_memory(&self, engine: &EngineSpec, observed: &mut Observed) {
        let mb = |model: &ModelId| engine.model(model).unwrap().weights_mb;
        let adapter_mb = |model: &ModelId| engine.model(model).unwrap().adapter_mb;
        let mut used_mb: f64 = self.models.iter().map(|held| mb(&held.model)).sum();
        let mut slots = self.loading_adapters.len();
        for held in &self.models {
            slots += held.adapters.len();
            used_mb += adapter_mb(&held.model) * held.adapters.len() as f64;
        }
        used_mb += self
            .loading_adapters
            .iter()
            .map(|(m, ..)| adapter_mb(m))
            .sum::<f64>();
        if let Some(OrderInProgress {
            order: Order::LoadModel(model),
            ..
        }) = &self.in_progress
        {
            used_mb += mb(model);
        }
        if used_mb > engine.weights_memory_mb || slots > engine.adapter_slots {
            let id = &self.key.id;
            let text = format!("{id}: {used_mb} MB, {slots} adapters");
            observed.violations.push(text);
        }
    }

    fn record_report(&mut self, now: Instant) {
        let loading = self.loading_adapters.iter();
        let report = RunnerReport {
            born_unix_ms: self.key.born_unix_ms,
            models: self.models.clone(),
            loading_adapters: loading.map(|(m, a, _)| (m.clone(), a.clone())).collect(),
            order_in_progress: self.in_progress.is_some(),
            orders_accepted: self.accepted_orders,
            queued_requests: 0,
            running_requests: 0,
        };
        if self
            .past_reports
            .last()
            .is_none_or(|(_, last)| *last != report)
        {
            self.past_reports.push((now, report));
        }
    }

    fn delayed_report(&self, now: Instant) -> RunnerReport {
        let mut past_reports = self.past_reports.iter().rev();
        let old = past_reports.find(|(at, _)| *at + REPORT_AGE <= now);
        let old = old.or(self.past_reports.first()).unwrap();
        old.1.clone()
    }
}

fn resident(model: ModelId) -> ResidentModel {
    ResidentModel {
        model,
        version: 1,
        adapters: Vec::new(),
    }
}

fn address(runner: &FakeRunner) -> SocketAddr {
    let number: u8 = runner.key.id.as_str()[1..].parse().unwrap();
    SocketAddr::from(([10, 1, 0, number], 8_080))
}

fn entry(runner: &FakeRunner) -> RunnerEntry {
    RunnerEntry {
        key: runner.key.clone(),
        service: "writer".into(),
        address: address(runner),
        zone: "z0".into(),
        slots: 32,
        state: match runner.is_draining {
            true => RunnerState::Draining { remaining_ms: None },
            false => RunnerState::Ready,
        },
        software: "v1".into(),
        cold_remaining_ms: 0,
        models: runner.models.clone(),
        in_memory: Vec::new(),
        on_disk: runner.on_disk.clone(),
    }
}
