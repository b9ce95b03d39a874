//! Checks histories of calls under random faults: no idempotency key runs twice, and a call reported
//! as `not-run` did not run.

mod common {
    pub mod entry_rig;
    pub mod fake_backend;
}

use {
    common::{
        entry_rig::{CallerResponse, Cluster, Rig, RigBuilder},
        fake_backend::{Accept, FakeBackend, Received, Step, respond},
    },
    greengagetrail::{
        history::{ExecutionEvent, ExecutionViolation, ReportedOutcome, check_executions},
        standin::kv::{KvFaults, MemoryStore},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

const SEEDS: [u64; 3] = [1, 2, 3];
const KEYS: usize = 60;
const ATTEMPTS_PER_KEY: usize = 4;

type History = Arc<Mutex<Vec<ExecutionEvent>>>;
type SharedRng = Arc<Mutex<StdRng>>;

fn random_below(rng: &SharedRng, bound: u32) -> u32 {
    rng.lock().unwrap().random_range(0..bound)
}

/// Starts a backend server that runs most calls and fails before, during or after many of them.
async fn start_flaky_backend(history: History, rng: SharedRng) -> FakeBackend {
    let accept_rng = rng.clone();
    let accept = move |_| match random_below(&accept_rng, 12) {
        0 => Accept::ResetAtOnce,
        1 => Accept::ResetAfter(1 + random_below(&accept_rng, 250) as usize),
        _ => Accept::Serve,
    };
    FakeBackend::start_with(accept, move |received| {
        let case = random_below(&rng, 24);
        if case >= 16 {
            return respond(503, "x-request-ran: no\r\n", "");
        }
        record_run(&history, received);
        match case {
            2 => vec![Step::Reset],
            3 => vec![Step::Close],
            4 => vec![
                Step::send("HTTP/1.1 201 Created\r\ncontent-length: 9\r\n\r\nb"),
                Step::Reset,
            ],
            5 => vec![Step::Hang],
            6 => respond(500, "", "failed after the sale"),
            7 => {
                let mut delayed = vec![Step::Pause(Duration::from_millis(60))];
                delayed.extend(respond(201, "", "booked"));
                delayed
            }
            _ => respond(201, "", "booked"),
        }
    })
    .await
}

fn record_run(history: &History, received: &Received) {
    let attempt = received.header("x-attempt").unwrap().to_owned();
    let key = received
        .header("idempotency-key")
        .unwrap_or(&attempt)
        .to_owned();
    history
        .lock()
        .unwrap()
        .push(ExecutionEvent::Executed { key, attempt });
}

fn reported_outcome(response: &CallerResponse) -> ReportedOutcome {
    match response.outcome().as_str() {
        "not-run" => ReportedOutcome::NotRun,
        "unknown" => ReportedOutcome::Unknown,
        _ => ReportedOutcome::Answered,
    }
}

async fn attempt_sale(
    rig: &Rig,
    history: &History,
    key: Option<&str>,
    attempt: String,
) -> ReportedOutcome {
    let mut headers = vec![("x-attempt", attempt.as_str())];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let outcome = reported_outcome(
        &rig.post("/services/desk/sales", &headers, "{\"lot\":7}")
            .await,
    );
    let key = key.unwrap_or(&attempt).to_owned();
    history.lock().unwrap().push(ExecutionEvent::Reported {
        key,
        attempt: attempt.clone(),
        outcome,
    });
    outcome
}

/// Sends one sale several times to random entries, two at a time.
async fn attempt_sale_repeatedly(
    rigs: Arc<Vec<Rig>>,
    history: History,
    rng: SharedRng,
    number: usize,
) {
    let any_rig = || &rigs[random_below(&rng, rigs.len() as u32) as usize];
    let key = match number % 3 {
        0 => Some(format!("sale-{number}")),
        1 => Some(any_rig().mint("desk", 1).await.remove(0)),
        _ => None,
    };
    for round in 0..ATTEMPTS_PER_KEY {
        let attempt = |part| format!("{number}-{round}-{part}");
        let first = attempt_sale(any_rig(), &history, key.as_deref(), attempt(0));
        let second = attempt_sale(any_rig(), &history, key.as_deref(), attempt(1));
        futures::join!(first, second);
    }
}

async fn inject_store_faults(store: MemoryStore, rng: SharedRng) {
    loop {
        let faults = match random_below(&rng, 5) {
            0 => KvFaults::DOWN,
            1 => KvFaults {
                lost_answers: 3,
                ..KvFaults::default()
            },
            2 => KvFaults {
                lost_calls: 2,
                slow_ms: 20,
                ..KvFaults::default()
            },
            _ => KvFaults::default(),
        };
        store.set_faults(faults);
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
}

async fn run_sales(seed: u64) -> Vec<ExecutionEvent> {
    let rng: SharedRng = Arc::new(Mutex::new(StdRng::seed_from_u64(seed)));
    let history = History::default();
    let backends = [
        start_flaky_backend(history.clone(), rng.clone()).await,
        start_flaky_backend(history.clone(), rng.clone()).await,
    ];
    let store = MemoryStore::new();
    let cluster = Cluster::default();
    let mut rigs = Vec::new();
    for vm in ["vm-1", "vm-2", "vm-3"] {
        let mut builder = RigBuilder::new()
            .service("desk", &[&backends[0], &backends[1]], 400)
            .set("retry_budget_percent", 100.into());
        builder.vm = vm;
        builder.store = store.clone();
        builder.cluster = cluster.clone();
        builder.members = vec!["vm-1", "vm-2", "vm-3"];
        rigs.push(builder.start().await);
    }
    let rigs = Arc::new(rigs);
    let store_faults = tokio::spawn(inject_store_faults(store, rng.clone()));
    let sales = (0..KEYS).map(|number| {
        tokio::spawn(attempt_sale_repeatedly(
            rigs.clone(),
            history.clone(),
            rng.clone(),
            number,
        ))
    });
    for sale in futures::future::join_all(sales).await {
        sale.unwrap();
    }
    store_faults.abort();
    history.lock().unwrap().clone()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn no_key_runs_twice_and_not_run_is_true() {
    for seed in SEEDS {
        let events = run_sales(seed).await;
        assert_eq!(check_executions(&events), Ok(()), "seed {seed}");
        let count = |wanted: ReportedOutcome| {
            let is_wanted = |event: &&ExecutionEvent| matches!(event, ExecutionEvent::Reported { outcome, .. } if *outcome == wanted);
            events.iter().filter(is_wanted).count()
        };
        let counts = [
            ReportedOutcome::Answered,
            ReportedOutcome::NotRun,
            ReportedOutcome::Unknown,
        ]
        .map(count);
        println!("seed {seed}: answered, not run, unknown: {counts:?}");
        assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
    }
}

#[test]
fn the_checker_rejects_mutated_histories() {
    let ran = |key: &str, attempt: &str| ExecutionEvent::Executed {
        key: key.to_owned(),
        attempt: attempt.to_owned(),
    };
    let reported = |attempt: &str, outcome| ExecutionEvent::Reported {
        key: "k".to_owned(),
        attempt: attempt.to_owned(),
        outcome,
    };
    let good = vec![
        ran("k", "a"),
        reported("a", ReportedOutcome::Answered),
        reported("b", ReportedOutcome::NotRun),
    ];
    assert_eq!(check_executions(&good), Ok(()));
    let mutate = |event| [good.clone(), vec![event]].concat();
    let twice = check_executions(&mutate(ran("k", "c")));
    assert_eq!(
        twice,
        Err(ExecutionViolation::ExecutedTwice("k".to_owned()))
    );
    let untrue = check_executions(&mutate(ran("l", "b")));
    assert_eq!(
        untrue,
        Err(ExecutionViolation::ExecutedAfterNotRun("b".to_owned()))
    );
    let invented = check_executions(&mutate(reported("d", ReportedOutcome::Answered)));
    assert_eq!(
        invented,
        Err(ExecutionViolation::AnsweredWithoutExecution("d".to_owned()))
    );
}
