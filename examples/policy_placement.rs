//! Replays seeded demand against placement strategies: the planner, a static placement, eviction of
//! the least recently used model, and as an upper bound all models on all runners.
//!
//! `cargo run --release --example policy_placement -- [SEEDS] [MOVE_WEIGHT]`

mod policy_support;

use {
    greengagetrail::{
        engine::ModelResident,
        fleet::{Demand, Move, MoveChange, RunnerState},
        placement::{DemandRate, DemandTracker, PlanInput, Unloading, plan},
        units::{Epoch, Incarnation},
    },
    policy_support::{
        deployment::{DeploymentCase, TOKENS_MEAN, TOKENS_PER_ACCELERATOR_S, kente, maltgrain},
        engine::{Engine, Event, Job, STEP_MS},
        trace::{TRACE_S, Trace},
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// The interval between runs of the planner.
const PLAN_INTERVAL_MS: f64 = 2_000.0;
/// The waiting requests at a copy from which the LRU strategy loads another copy.
const LRU_WAITING: usize = 4;
/// The time from which moves count as late ones.
const LATE_MS: f64 = 1_200_000.0;
/// The share of the capacity that steady demand uses.
const STEADY_SHARE: f64 = 0.6;
/// The memory of a runner that holds three to four models.
const ROOMY_MIB: u64 = 66_000;
/// The memory of a runner that holds two models.
const TIGHT_MIB: u64 = 44_000;
/// The duration of an unload.
const UNLOAD_S: f64 = 0.5;

/// How copies are placed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Strategy {
    Static,
    Lru,
    Planned,
    Everywhere,
}

/// A move in progress.
struct MoveInProgress {
    planned: Move,
    left_s: f64,
}

/// The replay of one trace with one strategy, and its results.
struct Replay<'a> {
    case: &'a DeploymentCase,
    strategy: Strategy,
    engines: Vec<Engine>,
    states: Vec<RunnerState>,
    /// When each runner last served each model.
    used_ms: Vec<Vec<f64>>,
    running: Vec<MoveInProgress>,
    queued: Vec<Move>,
    load_tokens: f64,
    tracker: DemandTracker,
    report: Vec<Demand>,
    start: Instant,
    moves: u32,
    moves_late: u32,
    requested: u32,
    attained: u32,
    hits: u32,
    top_requested: u32,
    top_attained: u32,
}

impl<'a> Replay<'a> {
    fn new(case: &'a DeploymentCase, strategy: Strategy, trace: &Trace) -> Self {
        let models = case.catalog.models.len();
        let runners = case.catalog.runners.len();
        let mut states = placement_for(case, &trace.shares(0.0));
        if strategy == Strategy::Everywhere {
            let models: Vec<_> = case.catalog.models.iter().map(resident).collect();
            states
                .iter_mut()
                .for_each(|state| state.models = models.clone());
        }
        Self {
            case,
            strategy,
            engines: vec![Engine::default(); runners],
            states,
            used_ms: vec![vec![0.0; models]; runners],
            running: Vec::new(),
            queued: Vec::new(),
            load_tokens: 1.0,
            tracker: DemandTracker::default(),
            report: Vec::new(),
            start: Instant::now(),
            moves: 0,
            moves_late: 0,
            requested: 0,
            attained: 0,
            hits: 0,
            top_requested: 0,
            top_attained: 0,
        }
    }

    fn run(&mut self, trace: &mut Trace) {
        let mut jobs = Vec::new();
        let mut events = Vec::new();
        for step in 0..(TRACE_S * 1e3 / STEP_MS) as u64 {
            let now_ms = step as f64 * STEP_MS;
            trace.step(self.case, now_ms, &mut jobs);
            for job in jobs.drain(..) {
                self.arrive(job, now_ms);
            }
            for engine in &mut self.engines {
                engine.step(now_ms, true, &mut events);
            }
            for event in events.drain(..) {
                self.handle_event(event);
            }
            if self.strategy == Strategy::Planned && now_ms % PLAN_INTERVAL_MS < STEP_MS {
                self.plan(now_ms);
            }
            self.advance_moves();
        }
    }

    fn arrive(&mut self, job: Job, now_ms: f64) {
        self.requested += 1;
        self.top_requested += u32::from(job.priority == 0);
        let copies: Vec<usize> = (0..self.states.len())
            .filter(|&runner| self.is_copy_ready(runner, job.model) == Some(true))
            .collect();
        let load = |runner: usize| self.engines[runner].waiting() + self.engines[runner].running();
        let best = copies.iter().copied().min_by_key(|&runner| load(runner));
        self.update_report(job.model, |demand| demand.requests += 1);
        let Some(best) = best else {
            self.update_report(job.model, |demand| demand.refused += 1);
            return;
        };
        self.used_ms[best][job.model] = now_ms;
        self.engines[best].push(job);
        if self.strategy == Strategy::Lru && self.engines[best].waiting() >= LRU_WAITING {
            self.load_lru_copy(job.model, now_ms);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::FirstToken { job, wait_ms, hit } => {
                self.hits += u32::from(hit);
                let in_time = wait_ms <= job.target_ms;
                self.attained += u32::from(in_time);
                self.top_attained += u32::from(in_time && job.priority == 0);
                self.update_report(job.model, |demand| demand.late += u32::from(!in_time));
            }
            Event::Dropped { job } => self.update_report(job.model, |demand| demand.refused += 1),
            Event::Finished { job } => {
                self.update_report(job.model, |demand| demand.tokens += job.tokens as u32);
            }
        }
    }

    fn update_report(&mut self, model: usize, act: impl FnOnce(&mut Demand)) {
        let name = &self.case.catalog.models[model].name;
        let found = self.report.iter().position(|demand| demand.model == *name);
        let position = found.unwrap_or_else(|| {
            self.report.push(Demand {
                model: name.clone(),
                adapter: None,
                requests: 0,
                tokens: 0,
                late: 0,
                refused: 0,
            });
            self.report.len() - 1
        });
        act(&mut self.report[position]);
    }

    fn plan(&mut self, now_ms: f64) {
        let now = self.start + Duration::from_millis(now_ms as u64);
        self.tracker.record(&std::mem::take(&mut self.report), now);
        let rates = self.tracker.rates(now);
        let open = self.running.iter().map(|running| &running.planned);
        let unloading = unloading(open.chain(&self.queued));
        for data_centre in &self.case.catalog.data_centres {
            let mut input = PlanInput::new(&self.case.catalog, &data_centre.name, &self.states);
            input.demand = &rates;
            input.unloading = &unloading;
            input.tokens_per_accelerator_s = TOKENS_PER_ACCELERATOR_S;
            self.queued.extend(plan(&input).moves);
        }
        let queued = std::mem::take(&mut self.queued);
        for planned in queued {
            self.start_move(planned, now_ms);
        }
    }

    /// Loads another copy of a model at the least loaded runner without one, or first unloads the
    /// least recently used model there that has another copy.
    fn load_lru_copy(&mut self, model: usize, now_ms: f64) {
        let catalog = &self.case.catalog;
        let loading = (0..self.states.len()).any(|r| self.is_copy_ready(r, model) == Some(false));
        if loading || self.running.len() >= 6 {
            return;
        }
        let target = (0..self.states.len())
            .filter(|&runner| self.is_copy_ready(runner, model).is_none())
            .min_by_key(|&r| self.engines[r].waiting() + self.engines[r].running());
        let Some(target) = target else {
            return;
        };
        let held = self.states[target].models.iter();
        let held_mib: u64 = held
            .filter_map(|held| Some(catalog.model(&held.model)?.memory_mib.0))
            .sum();
        let room_mib = catalog.runners[target].model_memory_mib().0 - held_mib;
        let name = |index: usize| catalog.models[index].name.clone();
        let runner = self.states[target].name.clone();
        let planned = |change| Move {
            runner: runner.clone(),
            change,
            urgent: false,
        };
        if room_mib >= catalog.models[model].memory_mib.0 {
            self.start_move(planned(MoveChange::Load(name(model))), now_ms);
            return;
        }
        let oldest = (0..catalog.models.len())
            .filter(|&other| self.is_copy_ready(target, other) == Some(true))
            .filter(|&other| {
                let ready = |r: &usize| self.is_copy_ready(*r, other) == Some(true);
                (0..self.states.len()).filter(ready).count() > 1
            })
            .min_by(|&a, &b| self.used_ms[target][a].total_cmp(&self.used_ms[target][b]));
        if let Some(oldest) = oldest {
            self.start_move(planned(MoveChange::Unload(name(oldest))), now_ms);
        }
    }

    fn start_move(&mut self, planned: Move, now_ms: f64) {
        let left_s = match planned.change {
            MoveChange::Load(_) => load_s(self.case),
            _ => UNLOAD_S,
        };
        self.moves += 1;
        self.moves_late += u32::from(now_ms > LATE_MS);
        let catalog = &self.case.catalog;
        let states = self.states.iter_mut();
        let state = states
            .into_iter()
            .find(|state| state.name == planned.runner);
        let state = state.expect("the runner is known");
        match &planned.change {
            MoveChange::Load(name) => {
                let model = catalog.model(name).expect("it is configured");
                let mut loading = resident(model);
                loading.ready = false;
                state.models.push(loading);
            }
            MoveChange::Unload(name) => {
                let held = state.models.iter_mut().find(|held| held.model == *name);
                held.expect("it is resident").ready = false;
            }
            _ => {}
        }
        self.running.push(MoveInProgress { planned, left_s });
    }

    /// Advances the moves in progress by one step. The weight store limits the rate at which loads
    /// start, and slows all loads down if more run at once than it serves at full speed.
    fn advance_moves(&mut self) {
        let deployment = &self.case.catalog.deployment;
        let is_load =
            |running: &&MoveInProgress| matches!(running.planned.change, MoveChange::Load(_));
        let loads = self.running.iter().filter(is_load).count().max(1) as f64;
        let speed = (f64::from(deployment.model_loads_at_once_max) / loads).min(1.0);
        let rate = (deployment.model_loads_per_s * STEP_MS / 1e3).min(1.0);
        self.load_tokens = (self.load_tokens + rate).min(1.0);
        for running in &mut self.running {
            let waits = matches!(running.planned.change, MoveChange::Load(_))
                && running.left_s == load_s(self.case);
            if waits && self.load_tokens < 1.0 {
                continue;
            }
            if waits {
                self.load_tokens -= 1.0;
            }
            running.left_s -= STEP_MS / 1e3 * speed;
        }
        let (done, open): (Vec<_>, Vec<_>) = self
            .running
            .drain(..)
            .partition(|running| running.left_s <= 0.0);
        self.running = open;
        for running in done {
            let states = self.states.iter_mut();
            let found = states
                .into_iter()
                .find(|s| s.name == running.planned.runner);
            let models = &mut found.expect("the runner is known").models;
            match &running.planned.change {
                MoveChange::Load(name) => {
                    let held = models.iter_mut().find(|held| held.model == *name);
                    held.expect("it loads").ready = true;
                }
                MoveChange::Unload(name) => models.retain(|held| held.model != *name),
                _ => {}
            }
        }
    }

    /// Returns whether a runner's copy of a model is ready, if the runner has one.
    fn is_copy_ready(&self, runner: usize, model: usize) -> Option<bool> {
        let name = &self.case.catalog.models[model].name;
        let held = self.states[runner]
            .models
            .iter()
            .find(|held| held.model == *name);
        held.map(|held| held.ready)
    }
}

/// Returns the duration of a load at full speed, in seconds.
fn load_s(case: &DeploymentCase) -> f64 {
    let deployment = &case.catalog.deployment;
    f64::from(deployment.model_loads_at_once_max) / deployment.model_loads_per_s
}

fn resident(model: &greengagetrail::config::Model) -> ModelResident {
    ModelResident {
        model: model.name.clone(),
        version: model.version.clone(),
        ready: true,
    }
}

fn unloading<'a>(moves: impl Iterator<Item = &'a Move>) -> Vec<Unloading> {
    moves
        .filter_map(|planned| match &planned.change {
            MoveChange::Unload(model) => Some(Unloading {
                runner: planned.runner.clone(),
                model: model.clone(),
            }),
            _ => None,
        })
        .collect()
}

/// Returns a placement for known shares of the demand, as an operator would make it from the demand
/// of the day before.
fn placement_for(case: &DeploymentCase, shares: &[f64]) -> Vec<RunnerState> {
    let names = case
        .catalog
        .runners
        .iter()
        .map(|runner| runner.name.clone());
    let mut states: Vec<RunnerState> = names
        .map(|name| RunnerState {
            name,
            epoch: Epoch(1),
            incarnation: Incarnation(1),
            leaving: false,
            reachable: true,
            models: Vec::new(),
            adapters: Vec::new(),
        })
        .collect();
    let requested = case.capacity_per_s * 0.9;
    let models = case.catalog.models.iter().zip(shares);
    let rates: Vec<DemandRate> = models
        .map(|(model, share)| DemandRate {
            model: model.name.clone(),
            adapter: None,
            requests_per_s: requested * share,
            tokens_per_s: requested * share * TOKENS_MEAN,
            lost_per_s: 0.0,
        })
        .collect();
    for _ in 0..200 {
        let mut moves = Vec::new();
        for data_centre in &case.catalog.data_centres {
            let mut input = PlanInput::new(&case.catalog, &data_centre.name, &states);
            input.demand = &rates;
            input.tokens_per_accelerator_s = TOKENS_PER_ACCELERATOR_S;
            moves.extend(plan(&input).moves);
        }
        for planned in moves {
            let state = states.iter_mut().find(|state| state.name == planned.runner);
            let models = &mut state.expect("the runner is known").models;
            match planned.change {
                MoveChange::Load(name) => {
                    let model = case.catalog.model(&name).expect("it is configured");
                    models.push(resident(model));
                }
                MoveChange::Unload(name) => models.retain(|held| held.model != name),
                _ => {}
            }
        }
    }
    states
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let seeds: u64 = arguments
        .next()
        .map_or(5, |text| text.parse().expect("a number"));
    let weight: Option<f64> = arguments.next().map(|text| text.parse().expect("a number"));
    let roomy = [maltgrain(ROOMY_MIB), kente(ROOMY_MIB)];
    let tight = [maltgrain(TIGHT_MIB), kente(TIGHT_MIB)];
    let steady = [maltgrain(TIGHT_MIB), kente(TIGHT_MIB)];
    let steady = steady.map(|case| case.into_steady(STEADY_SHARE));
    for mut case in roomy.into_iter().chain(tight).chain(steady) {
        if let Some(weight) = weight {
            case.catalog.deployment.move_weight = weight;
        }
        let accelerators = case.catalog.runners.len() as f64;
        let kind = if case.steady { "steady" } else { "shifting" };
        let memory_mib = case.catalog.runners[0].model_memory_mib();
        let weight = case.catalog.deployment.move_weight;
        println!(
            "{}, {kind}, {memory_mib} per runner, weight {weight}",
            case.name
        );
        for strategy in [
            Strategy::Static,
            Strategy::Lru,
            Strategy::Planned,
            Strategy::Everywhere,
        ] {
            let mut lines = Vec::new();
            for seed in 0..seeds {
                let mut trace = Trace::new(&case, seed);
                let mut replay = Replay::new(&case, strategy, &trace);
                replay.run(&mut trace);
                lines.push(replay);
            }
            report(strategy, &lines, accelerators);
        }
    }
}

fn report(strategy: Strategy, runs: &[Replay<'_>], accelerators: f64) {
    let spread = |name: &str, value: &dyn Fn(&Replay<'_>) -> f64| {
        let values: Vec<f64> = runs.iter().map(value).collect();
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let low = values.iter().copied().fold(f64::INFINITY, f64::min);
        let high = values.iter().copied().fold(0.0, f64::max);
        format!("{name} {mean:.3} ({low:.3}..{high:.3})")
    };
    let minutes = TRACE_S / 60.0;
    println!(
        "  {strategy:?}: {}; {}; {}; {}; {}; {}",
        spread("in time/acc/min", &|r| f64::from(r.attained)
            / accelerators
            / minutes),
        spread("share", &|r| f64::from(r.attained) / f64::from(r.requested)),
        spread("top class", &|r| f64::from(r.top_attained)
            / f64::from(r.top_requested)),
        spread("prefix hits", &|r| f64::from(r.hits)
            / f64::from(r.requested)),
        spread("moves", &|r| f64::from(r.moves)),
        spread("from 1,200 s on", &|r| f64::from(r.moves_late)),
    );
}
