//! Replays seeded demand against ways to route, ways to learn of load, and faulty runners.
//!
//! `cargo run --release --example policy_routing -- [SEEDS]`

mod policy_support;

use {
    greengagetrail::{
        engine::{Load, ModelResident},
        fleet::RunnerState,
        routing::{
            InFlightGuard, LoadReport, LoadTracker, RouteRequest, RouteTable, choose_runner,
        },
        units::{Epoch, Incarnation, RunnerName},
    },
    policy_support::{
        deployment::{DeploymentCase, kente, maltgrain},
        engine::{Engine, Event, Job, STEP_MS},
        trace::Trace,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

const ENTRIES: usize = 6;
const RUNNERS: usize = 6;
const MODELS: usize = 4;
const REPLAY_S: f64 = 300.0;
/// Memory of a runner; all models are on all of them here.
const MEMORY_MIB: u64 = 66_000;
/// The first token is late after this time.
const LATE_MS: f64 = 1_000.0;
/// A request without a first token after this time is given up, and its runner suspected.
const TIMEOUT_MS: f64 = 2_000.0;
/// The share of reports that are lost.
const GAP_SHARE: f64 = 0.1;
/// How often reports ride on open streams, and how often they are polled.
const STREAM_INTERVAL_MS: f64 = 240.0;
const POLL_INTERVAL_MS: f64 = 1_000.0;
/// Bytes of a comment line in a stream, of a poll with its answer, and of a digest's line.
const STREAM_BYTES: f64 = 78.0;
const POLL_BYTES: f64 = 420.0;
const DIGEST_BYTES: f64 = 40.0;
/// How long a flapping runner refuses and serves in turn.
const FLAP_MS: f64 = 5_000.0;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    RoundRobin,
    LeastLoaded,
    Affine,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Signal {
    Nothing,
    Streams,
    Digest,
    Polling,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Healthy,
    Slow,
    Silent,
    Flapping,
}

#[derive(Clone, Copy)]
struct Run {
    case: fn(u64) -> DeploymentCase,
    load: f64,
    policy: Policy,
    signal: Signal,
    fault: Fault,
}

struct Entry {
    board: Arc<LoadTracker>,
    open: Vec<(Job, usize, InFlightGuard)>,
    heard_ms: Vec<f64>,
    next: usize,
}

#[derive(Default)]
struct Figures {
    asked: u32,
    first_tokens: u32,
    hits: u32,
    late: u32,
    lost: u32,
    refused: u32,
    bytes: f64,
    age_ms: f64,
    decisions: u32,
}

struct Replay {
    case: DeploymentCase,
    table: RouteTable,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    rng: StdRng,
    start: Instant,
    policy: Policy,
    signal: Signal,
    fault: Fault,
    figures: Figures,
}

impl Replay {
    fn new(run: &Run, seed: u64) -> Self {
        let mut case = (run.case)(MEMORY_MIB);
        let share = run.load * RUNNERS as f64 / case.catalog.runners.len() as f64;
        case = case.into_steady(share);
        case.catalog.models.truncate(MODELS);
        let names = case.catalog.runners.iter().take(RUNNERS);
        let states: Vec<RunnerState> = names.map(|runner| state(&case, &runner.name)).collect();
        let home = case.catalog.data_centres[0].name.clone();
        // All runners count as local here, so that only load and prefixes decide.
        for runner in &mut case.catalog.runners {
            runner.data_centre = home.clone();
        }
        let entry = |_| Entry {
            board: Arc::new(LoadTracker::new()),
            open: Vec::new(),
            heard_ms: vec![f64::NEG_INFINITY; RUNNERS],
            next: 0,
        };
        Self {
            table: RouteTable::new(&case.catalog, &home, &states),
            case,
            engines: vec![Engine::default(); RUNNERS],
            entries: (0..ENTRIES).map(entry).collect(),
            rng: StdRng::seed_from_u64(seed ^ 77),
            start: Instant::now(),
            policy: run.policy,
            signal: run.signal,
            fault: run.fault,
            figures: Figures::default(),
        }
    }

    fn run(mut self, seed: u64) -> Figures {
        let mut trace = Trace::new(&self.case, seed);
        let mut jobs = Vec::new();
        match self.fault {
            Fault::Slow => self.engines[0].slowdown = 3.0,
            Fault::Silent => self.engines[0].slowdown = f64::INFINITY,
            _ => {}
        }
        for step in 0..(REPLAY_S * 1e3 / STEP_MS) as u64 {
            let now_ms = step as f64 * STEP_MS;
            trace.step(&self.case, now_ms, &mut jobs);
            for job in jobs.drain(..) {
                self.arrive(job, now_ms);
            }
            self.step_engines(now_ms);
            self.time_out(now_ms);
            self.report(now_ms);
        }
        self.figures
    }

    fn at(&self, now_ms: f64) -> Instant {
        self.start + Duration::from_micros((now_ms * 1e3) as u64)
    }

    fn refuses(&self, runner: usize, now_ms: f64) -> bool {
        let odd = (now_ms / FLAP_MS) as u64 % 2 == 1;
        self.fault == Fault::Flapping && runner == 0 && odd
    }

    fn arrive(&mut self, job: Job, now_ms: f64) {
        self.figures.asked += 1;
        let entry = entry_of(&job);
        let mut excluded = Vec::new();
        for _ in 0..2 {
            let runner = self.pick(entry, &job, &excluded, now_ms);
            let name = self.case.catalog.runners[runner].name.clone();
            let heard_ms = self.entries[entry].heard_ms[runner];
            self.figures.age_ms += (now_ms - heard_ms).min(10_000.0);
            self.figures.decisions += 1;
            if self.refuses(runner, now_ms) {
                self.figures.refused += 1;
                let now = self.at(now_ms);
                self.entries[entry].board.record_failure(&name, now);
                excluded.push(name);
                continue;
            }
            let guard = self.entries[entry].board.start_request(&name);
            self.entries[entry].open.push((job, runner, guard));
            self.engines[runner].push(job);
            return;
        }
        self.figures.lost += 1;
    }

    fn pick(&mut self, entry: usize, job: &Job, excluded: &[RunnerName], now_ms: f64) -> usize {
        let now = self.at(now_ms);
        let runners = &self.case.catalog.runners[..RUNNERS];
        let state = &mut self.entries[entry];
        let usable = |runner: &usize| !excluded.contains(&runners[*runner].name);
        match self.policy {
            Policy::RoundRobin => {
                state.next += 1;
                let next = state.next;
                let turn = (0..RUNNERS).map(|step| (next + step) % RUNNERS);
                turn.into_iter().find(usable).unwrap_or(0)
            }
            Policy::LeastLoaded => {
                let load = |&r: &usize| state.board.load_estimate(&runners[r].name, now).requests;
                (0..RUNNERS).filter(usable).min_by_key(load).unwrap_or(0)
            }
            Policy::Affine => {
                let request = RouteRequest {
                    model: &self.case.catalog.models[job.model].name,
                    adapter: None,
                    prefix_hashes: &[job.prefix],
                    excluded,
                };
                let choice = choose_runner(&self.table, &state.board, &request, now, &mut self.rng);
                let name = choice.expect("all runners hold all models").runner;
                let found = runners.iter().position(|runner| runner.name == name);
                found.unwrap_or(0)
            }
        }
    }

    fn step_engines(&mut self, now_ms: f64) {
        let mut events = Vec::new();
        for runner in 0..RUNNERS {
            self.engines[runner].step(now_ms, false, &mut events);
            for event in events.drain(..) {
                self.take_event(runner, event);
            }
        }
    }

    fn take_event(&mut self, runner: usize, event: Event) {
        match event {
            Event::FirstToken { job, wait_ms, hit } => {
                self.figures.first_tokens += 1;
                self.figures.hits += u32::from(hit);
                self.figures.late += u32::from(wait_ms > LATE_MS && wait_ms <= TIMEOUT_MS);
                let name = &self.case.catalog.runners[runner].name;
                self.entries[entry_of(&job)].board.record_success(name);
            }
            Event::Finished { job } | Event::Dropped { job } => {
                let open = &mut self.entries[entry_of(&job)].open;
                open.retain(|(other, _, _)| !same(other, &job));
            }
        }
    }

    /// Gives up requests that wait too long for their first token.
    fn time_out(&mut self, now_ms: f64) {
        let now = self.at(now_ms);
        for entry in &mut self.entries {
            let engines = &mut self.engines;
            let runners = &self.case.catalog.runners;
            let (board, lost) = (&entry.board, &mut self.figures.lost);
            entry.open.retain(|(job, runner, _)| {
                let overdue = now_ms - job.arrived_ms > TIMEOUT_MS;
                if !overdue || !cancel(&mut engines[*runner], job) {
                    return true;
                }
                board.record_failure(&runners[*runner].name, now);
                *lost += 1;
                false
            });
        }
    }

    fn report(&mut self, now_ms: f64) {
        let every = |interval_ms: f64| now_ms % interval_ms < STEP_MS;
        for runner in 0..RUNNERS {
            if self.engines[runner].slowdown.is_infinite() {
                continue;
            }
            for entry in 0..ENTRIES {
                let streams = self.entries[entry].open.iter();
                let streaming = streams.into_iter().any(|(_, on, _)| *on == runner);
                let due = match self.signal {
                    Signal::Nothing => false,
                    Signal::Streams => streaming && every(STREAM_INTERVAL_MS),
                    Signal::Digest | Signal::Polling => every(POLL_INTERVAL_MS),
                };
                if !due {
                    continue;
                }
                self.figures.bytes += match self.signal {
                    Signal::Streams => STREAM_BYTES,
                    Signal::Digest => DIGEST_BYTES + POLL_BYTES / ENTRIES as f64,
                    _ => POLL_BYTES,
                };
                if self.rng.random::<f64>() >= GAP_SHARE {
                    self.hear(entry, runner, now_ms);
                }
            }
        }
    }

    fn hear(&mut self, entry: usize, runner: usize, now_ms: f64) {
        let load = Load {
            waiting: self.engines[runner].waiting() as u32,
            running: self.engines[runner].running() as u32,
            kv_used_permille: 0,
        };
        let report = LoadReport {
            incarnation: Incarnation(1),
            load,
        };
        let now = self.at(now_ms);
        let name = &self.case.catalog.runners[runner].name;
        self.entries[entry].board.record_report(name, report, now);
        self.entries[entry].heard_ms[runner] = now_ms;
    }
}

fn state(case: &DeploymentCase, name: &RunnerName) -> RunnerState {
    let models = case.catalog.models.iter();
    RunnerState {
        name: name.clone(),
        epoch: Epoch(1),
        incarnation: Incarnation(1),
        leaving: false,
        reachable: true,
        models: models
            .map(|model| ModelResident {
                model: model.name.clone(),
                version: model.version.clone(),
                ready: true,
            })
            .collect(),
        adapters: Vec::new(),
    }
}

/// Takes a request without a first token off an engine; tells whether there was one.
fn cancel(engine: &mut Engine, job: &Job) -> bool {
    let before = engine.waiting.len() + engine.running.len();
    engine.waiting.retain(|other| !same(other, job));
    engine
        .running
        .retain(|(running, _)| running.prompt_left <= 0.0 || !same(&running.job, job));
    engine.waiting.len() + engine.running.len() < before
}

fn same(a: &Job, b: &Job) -> bool {
    a.arrived_ms == b.arrived_ms && a.prefix == b.prefix && a.tokens == b.tokens
}

/// Returns the entry that a request comes in at.
fn entry_of(job: &Job) -> usize {
    (job.tokens.to_bits() >> 8) as usize % ENTRIES
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let seeds: u64 = arguments
        .next()
        .map_or(3, |text| text.parse().expect("a number"));
    let policies = [Policy::RoundRobin, Policy::LeastLoaded, Policy::Affine];
    for case in [maltgrain, kente] {
        println!("{}: means of {seeds} seeds", case(MEMORY_MIB).name);
        let healthy = Run {
            case,
            load: 0.6,
            policy: Policy::Affine,
            signal: Signal::Streams,
            fault: Fault::Healthy,
        };
        for load in [0.6, 0.85, 1.0] {
            for policy in policies {
                line(
                    &Run {
                        load,
                        policy,
                        ..healthy
                    },
                    seeds,
                );
            }
            for signal in [Signal::Nothing, Signal::Digest, Signal::Polling] {
                line(
                    &Run {
                        load,
                        signal,
                        ..healthy
                    },
                    seeds,
                );
            }
        }
        for fault in [Fault::Slow, Fault::Silent, Fault::Flapping] {
            for policy in policies {
                line(
                    &Run {
                        load: 0.5,
                        policy,
                        fault,
                        ..healthy
                    },
                    seeds,
                );
            }
        }
    }
}

fn line(run: &Run, seeds: u64) {
    let runs: Vec<Figures> = (0..seeds)
        .map(|seed| Replay::new(run, seed).run(seed))
        .collect();
    let mean =
        |value: &dyn Fn(&Figures) -> f64| runs.iter().map(value).sum::<f64>() / runs.len() as f64;
    let share = |count: &dyn Fn(&Figures) -> u32| {
        mean(&|run| f64::from(count(run)) / f64::from(run.asked)) * 100.0
    };
    println!(
        "  {} {:?} {:?} {:?}: hits {:.1}%, late {:.2}%, given up {:.2}%, \
         refused {:.2}%, report age {:.0} ms, {:.0} bytes/s",
        run.load,
        run.policy,
        run.signal,
        run.fault,
        mean(&|run| f64::from(run.hits) / f64::from(run.first_tokens)) * 100.0,
        share(&|run| run.late),
        share(&|run| run.lost),
        share(&|run| run.refused),
        mean(&|run| run.age_ms / f64::from(run.decisions)),
        mean(&|run| run.bytes / REPLAY_S),
    );
}
