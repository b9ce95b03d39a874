//! Replays seeded demand against routing policies, sources of load reports, and faulty runners.
//!
//! `cargo run --release --example policy_routing -- [SEEDS]`

mod policy_support;

use {
    greengagetrail::{
        engine::{EngineLoad, ModelResident},
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
const REPLAY_DURATION_S: f64 = 300.0;
/// The memory of a runner; every runner holds all models.
const MEMORY_MIB: u64 = 66_000;
/// The target for the first token.
const FIRST_TOKEN_TARGET_MS: f64 = 1_000.0;
/// The timeout for the first token, after which the request is given up and the runner counts as
/// failed.
const FIRST_TOKEN_TIMEOUT_MS: f64 = 2_000.0;
/// The share of load reports that are lost.
const LOST_REPORT_SHARE: f64 = 0.1;
/// The intervals of load reports on open streams and of polled reports.
const STREAM_INTERVAL_MS: f64 = 240.0;
const POLL_INTERVAL_MS: f64 = 1_000.0;
/// The bytes of a comment line in a stream, of a poll with its response, and of a digest's line.
const STREAM_REPORT_BYTES: f64 = 78.0;
const POLL_REPORT_BYTES: f64 = 420.0;
const DIGEST_REPORT_BYTES: f64 = 40.0;
/// How long a flapping runner refuses requests and serves them, in turn.
const FLAP_INTERVAL_MS: f64 = 5_000.0;

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
    load_tracker: Arc<LoadTracker>,
    open: Vec<(Job, usize, InFlightGuard)>,
    report_received_ms: Vec<f64>,
    next_runner: usize,
}

#[derive(Default)]
struct Results {
    requests: u32,
    first_tokens: u32,
    hits: u32,
    late: u32,
    given_up: u32,
    refused: u32,
    bytes: f64,
    report_age_ms: f64,
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
    results: Results,
}

impl Replay {
    fn new(run: &Run, seed: u64) -> Self {
        let mut case = (run.case)(MEMORY_MIB);
        let share = run.load * RUNNERS as f64 / case.catalog.runners.len() as f64;
        case = case.into_steady(share);
        case.catalog.models.truncate(MODELS);
        let names = case.catalog.runners.iter().take(RUNNERS);
        let states: Vec<RunnerState> = names.map(|runner| state(&case, &runner.name)).collect();
        let data_centre = case.catalog.data_centres[0].name.clone();
        // All runners count as local, so that only load and prefixes decide.
        for runner in &mut case.catalog.runners {
            runner.data_centre = data_centre.clone();
        }
        let entry = |_| Entry {
            load_tracker: Arc::new(LoadTracker::new()),
            open: Vec::new(),
            report_received_ms: vec![f64::NEG_INFINITY; RUNNERS],
            next_runner: 0,
        };
        Self {
            table: RouteTable::new(&case.catalog, &data_centre, &states),
            case,
            engines: vec![Engine::default(); RUNNERS],
            entries: (0..ENTRIES).map(entry).collect(),
            rng: StdRng::seed_from_u64(seed ^ 77),
            start: Instant::now(),
            policy: run.policy,
            signal: run.signal,
            fault: run.fault,
            results: Results::default(),
        }
    }

    fn run(mut self, seed: u64) -> Results {
        let mut trace = Trace::new(&self.case, seed);
        let mut jobs = Vec::new();
        match self.fault {
            Fault::Slow => self.engines[0].slowdown = 3.0,
            Fault::Silent => self.engines[0].slowdown = f64::INFINITY,
            _ => {}
        }
        for step in 0..(REPLAY_DURATION_S * 1e3 / STEP_MS) as u64 {
            let now_ms = step as f64 * STEP_MS;
            trace.step(&self.case, now_ms, &mut jobs);
            for job in jobs.drain(..) {
                self.arrive(job, now_ms);
            }
            self.step_engines(now_ms);
            self.expire_requests(now_ms);
            self.report(now_ms);
        }
        self.results
    }

    fn at(&self, now_ms: f64) -> Instant {
        self.start + Duration::from_micros((now_ms * 1e3) as u64)
    }

    fn refuses(&self, runner: usize, now_ms: f64) -> bool {
        let in_refusing_phase = (now_ms / FLAP_INTERVAL_MS) as u64 % 2 == 1;
        self.fault == Fault::Flapping && runner == 0 && in_refusing_phase
    }

    fn arrive(&mut self, job: Job, now_ms: f64) {
        self.results.requests += 1;
        let entry = entry_of(&job);
        let mut excluded = Vec::new();
        for _ in 0..2 {
            let runner = self.pick(entry, &job, &excluded, now_ms);
            let name = self.case.catalog.runners[runner].name.clone();
            let report_received_ms = self.entries[entry].report_received_ms[runner];
            self.results.report_age_ms += (now_ms - report_received_ms).min(10_000.0);
            self.results.decisions += 1;
            if self.refuses(runner, now_ms) {
                self.results.refused += 1;
                let now = self.at(now_ms);
                self.entries[entry].load_tracker.record_failure(&name, now);
                excluded.push(name);
                continue;
            }
            let guard = self.entries[entry].load_tracker.start_request(&name);
            self.entries[entry].open.push((job, runner, guard));
            self.engines[runner].push(job);
            return;
        }
        self.results.given_up += 1;
    }

    fn pick(&mut self, entry: usize, job: &Job, excluded: &[RunnerName], now_ms: f64) -> usize {
        let now = self.at(now_ms);
        let runners = &self.case.catalog.runners[..RUNNERS];
        let state = &mut self.entries[entry];
        let usable = |runner: &usize| !excluded.contains(&runners[*runner].name);
        match self.policy {
            Policy::RoundRobin => {
                state.next_runner += 1;
                let next_runner = state.next_runner;
                let order = (0..RUNNERS).map(|step| (next_runner + step) % RUNNERS);
                order.into_iter().find(usable).unwrap_or(0)
            }
            Policy::LeastLoaded => {
                let load = |&r: &usize| {
                    state
                        .load_tracker
                        .load_estimate(&runners[r].name, now)
                        .requests
                };
                (0..RUNNERS).filter(usable).min_by_key(load).unwrap_or(0)
            }
            Policy::Affine => {
                let request = RouteRequest {
                    model: &self.case.catalog.models[job.model].name,
                    adapter: None,
                    prefix_hashes: &[job.prefix],
                    excluded,
                };
                let choice = choose_runner(
                    &self.table,
                    &state.load_tracker,
                    &request,
                    now,
                    &mut self.rng,
                );
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
                self.apply_event(runner, event);
            }
        }
    }

    fn apply_event(&mut self, runner: usize, event: Event) {
        match event {
            Event::FirstToken { job, wait_ms, hit } => {
                self.results.first_tokens += 1;
                self.results.hits += u32::from(hit);
                self.results.late +=
                    u32::from(wait_ms > FIRST_TOKEN_TARGET_MS && wait_ms <= FIRST_TOKEN_TIMEOUT_MS);
                let name = &self.case.catalog.runners[runner].name;
                self.entries[entry_of(&job)]
                    .load_tracker
                    .record_success(name);
            }
            Event::Finished { job } | Event::Dropped { job } => {
                let open = &mut self.entries[entry_of(&job)].open;
                open.retain(|(other, _, _)| !is_same_job(other, &job));
            }
        }
    }

    /// Ends requests that wait too long for their first token.
    fn expire_requests(&mut self, now_ms: f64) {
        let now = self.at(now_ms);
        for entry in &mut self.entries {
            let engines = &mut self.engines;
            let runners = &self.case.catalog.runners;
            let (load_tracker, given_up) = (&entry.load_tracker, &mut self.results.given_up);
            entry.open.retain(|(job, runner, _)| {
                let overdue = now_ms - job.arrived_ms > FIRST_TOKEN_TIMEOUT_MS;
                if !overdue || !cancel(&mut engines[*runner], job) {
                    return true;
                }
                load_tracker.record_failure(&runners[*runner].name, now);
                *given_up += 1;
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
                self.results.bytes += match self.signal {
                    Signal::Streams => STREAM_REPORT_BYTES,
                    Signal::Digest => DIGEST_REPORT_BYTES + POLL_REPORT_BYTES / ENTRIES as f64,
                    _ => POLL_REPORT_BYTES,
                };
                if self.rng.random::<f64>() >= LOST_REPORT_SHARE {
                    self.receive_report(entry, runner, now_ms);
                }
            }
        }
    }

    fn receive_report(&mut self, entry: usize, runner: usize, now_ms: f64) {
        let load = EngineLoad {
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
        self.entries[entry]
            .load_tracker
            .record_report(name, report, now);
        self.entries[entry].report_received_ms[runner] = now_ms;
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

/// Removes a request without a first token from an engine; returns whether there was one.
fn cancel(engine: &mut Engine, job: &Job) -> bool {
    let before = engine.waiting.len() + engine.running.len();
    engine.waiting.retain(|other| !is_same_job(other, job));
    engine
        .running
        .retain(|(running, _)| running.prompt_left <= 0.0 || !is_same_job(&running.job, job));
    engine.waiting.len() + engine.running.len() < before
}

fn is_same_job(a: &Job, b: &Job) -> bool {
    a.arrived_ms == b.arrived_ms && a.prefix == b.prefix && a.tokens == b.tokens
}

/// Returns the entry that a request arrives at.
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
                print_line(
                    &Run {
                        load,
                        policy,
                        ..healthy
                    },
                    seeds,
                );
            }
            for signal in [Signal::Nothing, Signal::Digest, Signal::Polling] {
                print_line(
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
                print_line(
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

fn print_line(run: &Run, seeds: u64) {
    let runs: Vec<Results> = (0..seeds)
        .map(|seed| Replay::new(run, seed).run(seed))
        .collect();
    let mean =
        |value: &dyn Fn(&Results) -> f64| runs.iter().map(value).sum::<f64>() / runs.len() as f64;
    let share = |count: &dyn Fn(&Results) -> u32| {
        mean(&|run| f64::from(count(run)) / f64::from(run.requests)) * 100.0
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
        share(&|run| run.given_up),
        share(&|run| run.refused),
        mean(&|run| run.report_age_ms / f64::from(run.decisions)),
        mean(&|run| run.bytes / REPLAY_DURATION_S),
    );
}
