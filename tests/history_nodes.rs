//! Seeded runs of several nodes whose histories are checked for invariants: the retry budget,
//! execution at most once, and configuration versions that never decrease.
//!
//! `GGT_SEEDS` sets the number of seeds.

mod common {
    pub mod bounds;
    pub mod fake_backend;
    pub mod relay_rig;
    pub mod store_writes;
    pub mod traffic_configs;
    pub mod version_formats;
}

use {
    bytes::Bytes,
    common::{
        bounds::bounds,
        fake_backend::{Received, Step},
        relay_rig::{Answer, RelayRig, Setup, signed, with_head},
        store_writes::write,
        version_formats::{KEY, VersionFormats},
    },
    futures::{
        future::join_all,
        stream::{self, StreamExt},
    },
    greengagetrail::{
        history::{
            ExecutionEvent, ExecutionViolation, ReportedOutcome, RetryBound, check_executions,
            check_retries,
        },
        node::Bounds,
        relay::RetryBudget,
        standin::kv::{KvFaults, MemoryStore},
        traffic::{
            ActiveConfig, ConfigFollower, ConfigVersion, RouteKind::NonIdempotent, ServiceId,
            activate_published_config,
        },
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, advance, sleep},
};

/// The number of seeds for each kind of run, unless `GGT_SEEDS` sets another.
const DEFAULT_SEED_COUNT: u64 = 40;
const RETRY_BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 54.0,
    window_ms: 10_000,
};
const STEP_MS: u64 = 50;
/// The number of concurrent runs with real sockets.
const CONCURRENT_RUNS: usize = 16;

fn seeds() -> std::ops::Range<u64> {
    let seeds = std::env::var("GGT_SEEDS").ok();
    0..seeds.map_or(DEFAULT_SEED_COUNT, |seeds| seeds.parse().unwrap())
}

fn budget() -> RetryBudget {
    RetryBudget::new(&Bounds {
        retry_budget_ratio: RETRY_BOUND.ratio,
        budget_window_s: RETRY_BOUND.window_ms as f64 / 1_000.0,
        retry_budget_slack: RETRY_BOUND.slack,
        ..bounds()
    })
}

/// Lets nodes count requests and retry as often as their budgets allow.
///
/// All nodes restart every `restart_steps` steps. Returns the times of the requests and retries.
async fn run_budgets(seed: u64, restart_steps: Option<u64>) -> (Vec<u64>, Vec<u64>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let service = ServiceId::from("s");
    let mut budgets: Vec<RetryBudget> = (0..rng.random_range(1..10)).map(|_| budget()).collect();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    let mut busy = vec![0; budgets.len()];
    for step in 0..1_000 {
        advance(Duration::from_millis(STEP_MS)).await;
        let now_ms = (step + 1) * STEP_MS;
        if restart_steps.is_some_and(|steps| step % steps == steps - 1) {
            for known in &mut budgets {
                *known = budget();
                known.limit_slack_after_restart();
            }
        }
        for (node, budget) in budgets.iter().enumerate() {
            if rng.random_range(0..60) == 0 {
                busy[node] = rng.random_range(0..8);
            }
            for _ in 0..busy[node] {
                budget.count_request(&service);
                requests.push(now_ms);
            }
            for _ in 0..rng.random_range(0..8) {
                if budget.try_retry(&service, budgets.len()) {
                    repeats.push(now_ms);
                }
            }
        }
    }
    (requests, repeats)
}

#[tokio::test(start_paused = true)]
async fn all_nodes_together_stay_within_the_retry_budget() {
    for seed in seeds() {
        let (requests, repeats) = run_budgets(seed, None).await;
        assert!(repeats.len() > 20, "seed {seed}");
        check_retries(&requests, &repeats, &RETRY_BOUND)
            .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        // The check must reject a history with a burst of 2000 additional retries.
        let mut more = [repeats.clone(), vec![repeats[repeats.len() / 2]; 2_000]].concat();
        more.sort_unstable();
        assert!(check_retries(&requests, &more, &RETRY_BOUND).is_err());
    }
}

#[tokio::test(start_paused = true)]
async fn nodes_that_restart_together_stay_within_the_retry_budget() {
    for seed in seeds() {
        for steps in [40, 150, 260] {
            let (requests, repeats) = run_budgets(seed, Some(steps)).await;
            check_retries(&requests, &repeats, &RETRY_BOUND)
                .unwrap_or_else(|e| panic!("seed {seed}, each {steps} steps: {e}"));
        }
    }
}

type Events = Arc<Mutex<Vec<ExecutionEvent>>>;

fn id(received: &Received) -> String {
    received.header("x-request-id").unwrap().to_owned()
}

/// Returns how a runner responds to a request that must run at most once, with a random fault.
fn runner_response(fault: u32, received: &Received, events: &Events) -> Vec<Step> {
    let not_run = "x-not-executed: 1\r\ncontent-length: 0\r\n";
    match fault {
        0..3 => return with_head(received, 503, not_run, ""),
        3 => return with_head(received, 421, "content-length: 0\r\n", ""),
        4 => return vec![Step::Close],
        _ => {}
    }
    let (key, attempt) = (id(received), id(received));
    events
        .lock()
        .unwrap()
        .push(ExecutionEvent::Executed { key, attempt });
    let mut steps = signed(received, 200, "", "done");
    match fault {
        5 => vec![Step::Close],
        6 => vec![Step::Reset],
        7 => vec![Step::send("\0\0no answer\r\n\r\n"), Step::Close],
        8 => signed(received, 500, "", "failed"),
        9 => {
            steps.extend(with_head(received, 503, not_run, ""));
            steps
        }
        10 => with_head(received, 200, "content-length: 8\r\n", "unsigned"),
        11 => vec![Step::Pause(Duration::from_millis(30)), Step::Reset],
        _ => steps,
    }
}

fn reported_outcome(answer: &Answer) -> ReportedOutcome {
    match answer.status {
        200 if answer.complete => ReportedOutcome::Answered,
        408 | 421 | 429 | 503 => ReportedOutcome::NotRun,
        _ => ReportedOutcome::Unknown,
    }
}

/// Sends requests to a node one after the other, on one connection while it stays open.
async fn call_on(rig: &RelayRig, name: &str, events: &Events) {
    let mut caller = rig.caller().await;
    for number in 0..6 {
        let attempt = format!("{name}-{number}");
        caller.send_as(&attempt, "", "body").await;
        let answer = caller.read().await;
        if !answer.complete {
            caller = rig.caller().await;
        }
        let (key, outcome) = (attempt.clone(), reported_outcome(&answer));
        let event = ExecutionEvent::Reported {
            key,
            attempt,
            outcome,
        };
        events.lock().unwrap().push(event);
    }
}

async fn run_relays(seed: u64) -> Vec<ExecutionEvent> {
    let events = Events::default();
    let script = {
        let (events, rng) = (events.clone(), Mutex::new(SmallRng::seed_from_u64(seed)));
        let rng = Arc::new(rng);
        move |_, received: &Received| {
            let fault = rng.lock().unwrap().random_range(0..20);
            runner_response(fault, received, &events)
        }
    };
    let setup = || Setup {
        timeout_ms: 800,
        ..Setup::new(NonIdempotent)
    };
    let first = RelayRig::start(setup(), script).await;
    let at: Vec<_> = first.runners.iter().map(|runner| runner.address).collect();
    let second = RelayRig::over(setup(), Vec::new(), &at).await;
    let names: Vec<String> = (0..6).map(|caller| format!("c{caller}")).collect();
    let callers = names.iter().enumerate().map(|(number, name)| {
        let rig = if number % 2 == 0 { &first } else { &second };
        call_on(rig, name, &events)
    });
    join_all(callers).await;
    std::mem::take(&mut *events.lock().unwrap())
}

/// Checks the history of one seed; returns how many requests ran and how many were refused.
async fn check_relay_run(seed: u64) -> (usize, usize) {
    let mut events = run_relays(seed).await;
    check_executions(&events).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    let is_run = |event: &&ExecutionEvent| matches!(event, ExecutionEvent::Executed { .. });
    let is_refused = |event: &&ExecutionEvent| matches!(event, ExecutionEvent::Reported { outcome, .. } if *outcome == ReportedOutcome::NotRun);
    let ran = events.iter().filter(is_run).count();
    let refused = events.iter().filter(is_refused).count();
    let run = events.iter().find(is_run).cloned();
    events.extend(run);
    let checked = check_executions(&events);
    assert!(
        matches!(checked, Err(ExecutionViolation::ExecutedTwice(_))),
        "seed {seed}"
    );
    (ran, refused)
}

#[tokio::test]
async fn non_idempotent_requests_run_at_most_once_through_several_nodes() {
    let runs = stream::iter(seeds())
        .map(check_relay_run)
        .buffer_unordered(CONCURRENT_RUNS);
    let counts: Vec<(usize, usize)> = runs.collect().await;
    let (ran, refused): (Vec<_>, Vec<_>) = counts.into_iter().unzip();
    let sums = (ran.iter().sum::<usize>(), refused.iter().sum::<usize>());
    assert!(sums.0 > 0 && sums.1 > 0, "{sums:?} ran and were refused");
}

/// Starts a configuration follower without state from earlier ones.
fn start_follower(link: &MemoryStore) -> (Arc<ActiveConfig>, tokio::task::AbortHandle) {
    let board = Arc::new(ActiveConfig::default());
    let formats = Arc::new(VersionFormats);
    let follower = ConfigFollower::new(Arc::new(link.clone()), formats, board.clone());
    let task = tokio::spawn(follower.run());
    (board, task.abort_handle())
}

fn random_faults(rng: &mut SmallRng) -> KvFaults {
    KvFaults {
        down: rng.random_range(0..4) == 0,
        silent: rng.random_range(0..6) == 0,
        watch_silent: rng.random_range(0..8) == 0,
        slow_ms: rng.random_range(0..300),
        ..KvFaults::default()
    }
}

/// Runs followers whose store connections fail and which also receive outdated configurations.
async fn run_followers(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let store = MemoryStore::new();
    let links: Vec<MemoryStore> = (0..4).map(|_| store.link()).collect();
    let mut nodes: Vec<_> = links.iter().map(start_follower).collect();
    let mut seen = vec![None; nodes.len()];
    let mut versions = vec![1];
    for _ in 0..60 {
        let version = versions[versions.len() - 1] + rng.random_range(1..5);
        versions.push(version);
        write(&store, KEY, &version.to_string()).await;
        let node = rng.random_range(0..nodes.len());
        links[node].set_faults(random_faults(&mut rng));
        let old = versions[rng.random_range(0..versions.len())].to_string();
        activate_published_config(&VersionFormats, &nodes[node].0, Bytes::from(old));
        if rng.random_range(0..10) == 0 {
            let mut state = store.copy_state();
            state.compact(state.version());
            store.restore(state);
        }
        if rng.random_range(0..12) == 0 {
            nodes[node].1.abort();
            (nodes[node], seen[node]) = (start_follower(&links[node]), None);
        }
        sleep(Duration::from_millis(rng.random_range(0..700))).await;
        for (before, (board, _)) in seen.iter_mut().zip(&nodes) {
            let now = board.version();
            assert!(now >= *before, "seed {seed}: {before:?} to {now:?}");
            assert!(now <= Some(ConfigVersion(version)), "seed {seed}: {now:?}");
            *before = now;
        }
    }
    links
        .iter()
        .for_each(|link| link.set_faults(KvFaults::default()));
    let healed = Instant::now();
    let last = versions.last().copied().map(ConfigVersion);
    while nodes.iter().any(|(board, _)| board.version() != last) {
        assert!(healed.elapsed() < Duration::from_secs(12), "seed {seed}");
        sleep(Duration::from_millis(20)).await;
    }
    nodes.iter().for_each(|(_, task)| task.abort());
}

#[tokio::test(start_paused = true)]
async fn no_follower_goes_back_to_an_older_configuration() {
    for seed in seeds() {
        run_followers(seed).await;
    }
}
