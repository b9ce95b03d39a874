//! Runners that carry out orders as the platform's do, with lost and late orders.

use {
    futures::future::{BoxFuture, FutureExt},
    greengagetrail::{
        copies::OrderListener,
        discovery::{ResidentModel, RunnerEntry, RunnerKey, RunnerState},
        dispatch::{ResidencyChange, RunnerRegistry},
        node::{Order, OrderCall, OrderReply, OrderUnknown, RunnerControl, RunnerReport},
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

/// The time that an order takes to arrive and be answered.
const ANSWER_MS: u64 = 2;
/// The time after which a caller gives up.
const GIVE_UP_MS: u64 = 1_000;
/// The latest that a late order is carried out.
const LATE_MAX_MS: u64 = 9_000;
/// The age of a report.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// What a fake runner is doing.
#[derive(Debug, Clone)]
struct Doing {
    order: Order,
    ends_at: Instant,
}

/// A fake runner.
#[derive(Debug, Clone)]
pub struct FakeRunner {
    pub key: RunnerKey,
    pub models: Vec<ResidentModel>,
    pub orders: u64,
    pub is_draining: bool,
    fence: u64,
    doing: Option<Doing>,
    coming: Vec<(ModelId, AdapterId, Instant)>,
    on_disk: Vec<ModelId>,
    past: Vec<(Instant, RunnerReport)>,
}

/// What the fleet saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Orders that a rule forbids.
    pub violations: Vec<String>,
    /// Starts of loads from the weight store.
    pub cold_starts: Vec<Instant>,
    /// Orders that arrived, accepted or not, with their tokens.
    pub orders: Vec<(Instant, u64, Order, OrderReply)>,
    /// Calls for a report.
    pub reports: usize,
    /// What was told.
    pub notes: Vec<(Instant, ResidencyChange)>,
}

/// The faults of orders.
#[derive(Debug, Clone, Copy, Default)]
pub struct OrderFaults {
    /// The share of orders that are lost for good, in percent.
    pub lost_percent: u32,
    /// The share of orders that are carried out late, in percent.
    pub late_percent: u32,
    /// The share of orders that are carried out but not answered, in percent.
    pub unanswered_percent: u32,
}

/// A fleet of fake runners.
pub struct FakeFleet {
    pub engine: EngineSpec,
    pub board: Arc<RunnerRegistry>,
    runners: Mutex<Vec<FakeRunner>>,
    seen: Mutex<Seen>,
    faults: Mutex<OrderFaults>,
    rng: Mutex<SmallRng>,
}

impl FakeFleet {
    /// Makes runners that hold what `held` lists for each.
    pub fn new(
        engine: EngineSpec,
        board: Arc<RunnerRegistry>,
        held: Vec<Vec<ModelId>>,
        seed: u64,
    ) -> Arc<Self> {
        let runner = |(index, models): (usize, Vec<ModelId>)| FakeRunner {
            key: RunnerKey {
                id: format!("r{index:02}").as_str().into(),
                born_unix_ms: 1,
            },
            models: models.into_iter().map(resident).collect(),
            orders: 0,
            is_draining: false,
            fence: 0,
            doing: None,
            coming: Vec::new(),
            on_disk: Vec::new(),
            past: Vec::new(),
        };
        Arc::new(Self {
            engine,
            board,
            runners: Mutex::new(held.into_iter().enumerate().map(runner).collect()),
            seen: Mutex::default(),
            faults: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        })
    }

    pub fn runners(&self) -> MutexGuard<'_, Vec<FakeRunner>> {
        self.runners.lock().unwrap()
    }

    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap()
    }

    pub fn set_faults(&self, faults: OrderFaults) {
        *self.faults.lock().unwrap() = faults;
    }

    /// Returns how many runners that take requests hold a model.
    pub fn count_held(&self, model: &ModelId) -> usize {
        let runners = self.runners();
        let ready = runners.iter().filter(|runner| !runner.is_draining);
        let held = ready.filter(|r| r.models.iter().any(|held| held.model == *model));
        held.count()
    }

    /// Starts a runner anew, under its name; it holds nothing.
    pub fn restart(&self, at: usize) {
        let runner = &mut self.runners()[at];
        runner.key.born_unix_ms += 1;
        runner.models.clear();
        runner.orders = 0;
        runner.fence = 0;
        runner.doing = None;
        runner.coming.clear();
        runner.past.clear();
    }

    /// Lists the runners as they stand, every `interval` and whenever a model came or went.
    pub async fn run(self: Arc<Self>, interval: Duration) {
        let mut listed_at = Instant::now() - interval;
        loop {
            let changed = self.settle();
            if changed || listed_at.elapsed() >= interval {
                listed_at = Instant::now();
                let entries = self.runners().iter().map(entry).collect();
                self.board.set_runners(entries);
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Finishes what is due; returns whether a model came or went.
    fn settle(&self) -> bool {
        let now = Instant::now();
        let mut changed = false;
        for runner in self.runners().iter_mut() {
            changed |= runner.settle(now);
        }
        changed
    }

    fn carry_out(&self, call: &OrderCall) -> OrderReply {
        let now = Instant::now();
        let mut runners = self.runners();
        let found = runners.iter_mut().find(|r| address(r) == call.address);
        let Some(runner) = found else {
            return OrderReply::WrongRunner;
        };
        if runner.key.id != call.runner.id {
            return OrderReply::WrongRunner;
        }
        runner.settle(now);
        let reply = runner.take(call, &self.engine, now, &mut self.seen());
        runner.keep_report(now);
        let mut seen = self.seen();
        let order = call.order.clone();
        seen.orders.push((now, call.fencing_token, order, reply));
        reply
    }

    fn draw_fate(&self) -> (bool, Option<Duration>, bool) {
        let faults = *self.faults.lock().unwrap();
        let mut rng = self.rng.lock().unwrap();
        let mut draw = |percent| rng.random_range(0..100) < percent;
        let lost = draw(faults.lost_percent);
        let late = draw(faults.late_percent);
        let unanswered = draw(faults.unanswered_percent);
        let delay = late.then(|| Duration::from_millis(rng.random_range(0..LATE_MAX_MS)));
        (lost, delay, unanswered)
    }
}

/// The way to the fleet, for the task under test.
pub struct FleetLink(pub Arc<FakeFleet>);

impl RunnerControl for FleetLink {
    fn order<'a>(&'a self, call: &'a OrderCall) -> BoxFuture<'a, Result<OrderReply, OrderUnknown>> {
        async move {
            sleep(Duration::from_millis(ANSWER_MS)).await;
            let (lost, delay, unanswered) = self.0.draw_fate();
            let (fleet, late) = (self.0.clone(), call.clone());
            match (lost, delay) {
                (true, _) => {}
                (_, Some(delay)) => drop(tokio::spawn(async move {
                    sleep(delay).await;
                    fleet.carry_out(&late);
                })),
                (false, None) => {
                    let reply = fleet.carry_out(call);
                    if !unanswered {
                        return Ok(reply);
                    }
                }
            }
            sleep(Duration::from_millis(GIVE_UP_MS)).await;
            Err(OrderUnknown("no answer in time".to_owned()))
        }
        .boxed()
    }

    fn report<'a>(
        &'a self,
        address: SocketAddr,
        _runner: &'a RunnerKey,
    ) -> BoxFuture<'a, Result<RunnerReport, OrderUnknown>> {
        async move {
            sleep(Duration::from_millis(ANSWER_MS)).await;
            self.0.seen().reports += 1;
            self.0.settle();
            let now = Instant::now();
            let mut runners = self.0.runners();
            let found = runners.iter_mut().find(|r| self::address(r) == address);
            let runner = found.ok_or_else(|| OrderUnknown("nobody there".to_owned()))?;
            runner.keep_report(now);
            Ok(runner.old_report(now))
        }
        .boxed()
    }
}

impl OrderListener for FleetLink {
    fn changed(&self, notes: &[ResidencyChange]) {
        let now = Instant::now();
        for note in notes {
            self.0.board.apply_residency_change(note);
            self.0.seen().notes.push((now, note.clone()));
        }
    }
}

impl FakeRunner {
    fn holds(&self, model: &ModelId) -> Option<&ResidentModel> {
        self.models.iter().find(|held| held.model == *model)
    }

    fn settle(&mut self, now: Instant) -> bool {
        let mut changed = false;
        let (due, later) = std::mem::take(&mut self.coming)
            .into_iter()
            .partition::<Vec<_>, _>(|(.., ends_at)| *ends_at <= now);
        self.coming = later;
        for (model, adapter, _) in due {
            let mut models = self.models.iter_mut();
            if let Some(held) = models.find(|held| held.model == model) {
                held.adapters.push(adapter);
                held.adapters.sort();
            }
        }
        if let Some(doing) = self.doing.take_if(|doing| doing.ends_at <= now) {
            match doing.order {
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
        self.keep_report(now);
        changed
    }

    fn take(
        &mut self,
        call: &OrderCall,
        engine: &EngineSpec,
        now: Instant,
        seen: &mut Seen,
    ) -> OrderReply {
        if call.fencing_token < self.fence {
            return OrderReply::Fenced;
        }
        self.fence = call.fencing_token;
        let differs = call
            .expected_orders
            .is_some_and(|count| count != self.orders);
        if differs || self.doing.is_some() {
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
                    seen.cold_starts.push(now);
                }
                self.doing = Some(Doing {
                    order: call.order.clone(),
                    ends_at: ends_at(if is_cold { 1_200 } else { 740 }),
                });
            }
            Order::UnloadModel(model) if self.holds(model).is_none() => {
                return OrderReply::AlreadyDone;
            }
            Order::UnloadModel(_) => {
                self.doing = Some(Doing {
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
                let coming = (model.clone(), adapter.clone(), ends_at(14));
                self.coming.push(coming);
            }
            Order::UnloadAdapter(model, adapter) => {
                let mut models = self.models.iter_mut();
                if let Some(held) = models.find(|held| held.model == *model) {
                    held.adapters.retain(|known| known != adapter);
                }
                self.orders += 1;
                return OrderReply::AlreadyDone;
            }
        }
        self.orders += 1;
        self.check_room(engine, seen);
        OrderReply::Accepted
    }

    /// Notes an order beyond the memory or the places for adapters.
    fn check_room(&self, engine: &EngineSpec, seen: &mut Seen) {
        let mb = |model: &ModelId| engine.model(model).unwrap().weights_mb;
        let adapter_mb = |model: &ModelId| engine.model(model).unwrap().adapter_mb;
        let mut used_mb: f64 = self.models.iter().map(|held| mb(&held.model)).sum();
        let mut slots = self.coming.len();
        for held in &self.models {
            slots += held.adapters.len();
            used_mb += adapter_mb(&held.model) * held.adapters.len() as f64;
        }
        used_mb += self.coming.iter().map(|(m, ..)| adapter_mb(m)).sum::<f64>();
        if let Some(Doing {
            order: Order::LoadModel(model),
            ..
        }) = &self.doing
        {
            used_mb += mb(model);
        }
        if used_mb > engine.weights_mb || slots > engine.adapter_slots {
            let id = &self.key.id;
            let text = format!("{id}: {used_mb} MB, {slots} adapters");
            seen.violations.push(text);
        }
    }

    fn keep_report(&mut self, now: Instant) {
        let coming = self.coming.iter();
        let report = RunnerReport {
            born_unix_ms: self.key.born_unix_ms,
            models: self.models.clone(),
            coming: coming.map(|(m, a, _)| (m.clone(), a.clone())).collect(),
            busy: self.doing.is_some(),
            orders_accepted: self.orders,
            queued: 0,
            running: 0,
        };
        if self.past.last().is_none_or(|(_, last)| *last != report) {
            self.past.push((now, report));
        }
    }

    fn old_report(&self, now: Instant) -> RunnerReport {
        let mut past = self.past.iter().rev();
        let old = past.find(|(at, _)| *at + REPORT_LAG <= now);
        let old = old.or(self.past.first()).unwrap();
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
        cold_remaining_ms: 0,
        models: runner.models.clone(),
        in_memory: Vec::new(),
        on_disk: runner.on_disk.clone(),
    }
}
