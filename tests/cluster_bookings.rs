//! Bookings and streams through systems of real processes while entries are killed and frozen,
//! the store fails, and two faults occur at once.

mod common {
    pub mod bookings;
    pub mod caller;
    pub mod cluster;
    pub mod links;
    pub mod ports;
    pub mod process;
}

use {
    common::{
        bookings::{assert_once, book_twice, keys},
        cluster::{Cluster, ClusterPlan},
    },
    futures::future::join_all,
    greengagetrail::{load::StreamVerifier, standin::ReferenceText},
    http_body_util::BodyExt,
    hyper::{Method, StatusCode},
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::SliceRandom},
    serde_json::{Value, json},
    std::time::Duration,
    tokio::time::{Instant, sleep, timeout},
};

const BOOKINGS: usize = 40;

fn slow_service() -> Value {
    json!({"slow_ms": 300})
}

#[tokio::test]
async fn no_key_runs_twice_when_its_entry_is_killed_during_the_call() {
    let mut cluster = Cluster::start_published(ClusterPlan::default()).await;
    cluster.plain.set_faults(slow_service()).await;
    for (round, delay_ms) in [5, 20, 60, 150, 350].into_iter().enumerate() {
        let keys = keys(&format!("killed-{round}"), BOOKINGS);
        let kill = async {
            sleep(Duration::from_millis(delay_ms)).await;
            cluster.vms[0].entry.kill_at_once();
        };
        let answers = book_twice(&cluster, [0, 1], &keys, kill).await;
        assert_once(&cluster, &keys, &answers).await;
        cluster.vms[0].entry.wait(Duration::from_secs(10));
        cluster.vms[0].restart_entry();
        let at = cluster.vms[0].entry_operations_address;
        cluster
            .caller
            .wait_for(at, "/readyz", Duration::from_secs(30))
            .await;
    }
}

#[tokio::test]
async fn no_key_runs_twice_when_its_entry_freezes_and_resumes() {
    let cluster = Cluster::start_published(ClusterPlan::default()).await;
    cluster.plain.set_faults(slow_service()).await;
    for (round, delay_ms) in [3, 15, 50, 200].into_iter().enumerate() {
        let keys = keys(&format!("frozen-{round}"), BOOKINGS);
        let freeze = async {
            sleep(Duration::from_millis(delay_ms)).await;
            cluster.vms[0].entry.freeze();
        };
        let answers = book_twice(&cluster, [0, 1], &keys, freeze).await;
        cluster.vms[0].entry.thaw();
        sleep(Duration::from_secs(1)).await;
        assert_once(&cluster, &keys, &answers).await;
    }
}

#[tokio::test]
async fn no_key_runs_twice_when_responses_of_the_store_are_lost() {
    let cluster = Cluster::start_published(ClusterPlan::default()).await;
    cluster.plain.set_faults(slow_service()).await;
    for round in 0..3 {
        let keys = keys(&format!("lost-{round}"), BOOKINGS);
        let lose = async {
            cluster.kv.set_faults(json!({"lost_answers": 6})).await;
        };
        let answers = book_twice(&cluster, [0, 1], &keys, lose).await;
        cluster.kv.set_faults(json!({})).await;
        assert_once(&cluster, &keys, &answers).await;
    }
}

/// The number of fault pairs in one run; the variable `GGT_PAIRS` overrides it.
const PAIRS_DEFAULT: usize = 3;
/// The number of keys booked at each of two VMs during a pair of faults.
const PAIR_BOOKINGS: usize = 20;
const SEED: u64 = 20261204;
/// The timeout for the recovery from faults; far longer than one takes.
const RECOVERY_MAX: Duration = Duration::from_secs(40);
/// The longest that a caller waits for a response during a pair of faults.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(12);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    KeeperKilled,
    KeeperFrozen,
    EntryKilled,
    EntryFrozen,
    EngineKilled,
    EngineFrozen,
    EngineConnectionsSilent,
    StoreDown,
    StoreFrozen,
    StoreAnswersLost,
}

const FAULTS: [Fault; 10] = [
    Fault::KeeperKilled,
    Fault::KeeperFrozen,
    Fault::EntryKilled,
    Fault::EntryFrozen,
    Fault::EngineKilled,
    Fault::EngineFrozen,
    Fault::EngineConnectionsSilent,
    Fault::StoreDown,
    Fault::StoreFrozen,
    Fault::StoreAnswersLost,
];

impl Fault {
    fn affects_store(self) -> bool {
        matches!(
            self,
            Self::StoreDown | Self::StoreFrozen | Self::StoreAnswersLost
        )
    }

    /// Injects the fault at one of the VMs or engines, or at the store.
    async fn inject(self, cluster: &Cluster, at: usize) {
        match self {
            Self::KeeperKilled => cluster.vms[at].keeper.kill_at_once(),
            Self::KeeperFrozen => cluster.vms[at].keeper.freeze(),
            Self::EntryKilled => cluster.vms[at].entry.kill_at_once(),
            Self::EntryFrozen => cluster.vms[at].entry.freeze(),
            Self::EngineKilled => cluster.engines[at].process.kill_at_once(),
            Self::EngineFrozen => cluster.engines[at].process.freeze(),
            Self::EngineConnectionsSilent => cluster.engines[at].command("silence").await,
            Self::StoreDown => cluster.kv.set_faults(json!({"down": true})).await,
            Self::StoreFrozen => cluster.kv.process.freeze(),
            Self::StoreAnswersLost => cluster.kv.set_faults(json!({"lost_answers": 6})).await,
        }
    }

    /// Ends the fault, restarting killed processes.
    async fn undo(self, cluster: &mut Cluster, at: usize) {
        match self {
            Self::KeeperKilled => cluster.vms[at].restart_keeper(),
            Self::KeeperFrozen => cluster.vms[at].keeper.thaw(),
            Self::EntryKilled => cluster.vms[at].restart_entry(),
            Self::EntryFrozen => cluster.vms[at].entry.thaw(),
            Self::EngineKilled => cluster.engines[at].restart(),
            Self::EngineFrozen => cluster.engines[at].process.thaw(),
            Self::EngineConnectionsSilent => {}
            Self::StoreFrozen => cluster.kv.process.thaw(),
            Self::StoreDown | Self::StoreAnswersLost => cluster.kv.set_faults(json!({})).await,
        }
    }
}

/// Requests all models at the VM without faults, and returns how many were served; each failure
/// must be reported with its outcome.
async fn request_models(cluster: &Cluster, prompt: &str) -> usize {
    let entry = cluster.vms[2].callers_address;
    let mut served = 0;
    for model in ["model-0", "model-1"] {
        let asked = timeout(RESPONSE_TIMEOUT, cluster.complete(entry, model, prompt, 4)).await;
        let answer = asked.expect("an answer in time").expect("a connection");
        if answer.status == StatusCode::OK {
            let text = answer.json()["choices"][0]["text"]
                .as_str()
                .map(str::to_owned);
            let wanted = ReferenceText::new(model, prompt);
            assert!(wanted.matches(0..4, &text.unwrap()), "{}", answer.text());
            served += 1;
        } else {
            assert!(answer.json()["outcome"].is_string(), "{}", answer.text());
        }
    }
    served
}

/// Injects both faults while callers book and request completions, and returns how many
/// completions were served.
async fn run_fault_pair(cluster: &mut Cluster, pair: [Fault; 2], delay: Duration) -> usize {
    let name = format!("{:?}-{:?}", pair[0], pair[1]);
    let [first, second] =
        ["first", "second"].map(|vm| keys(&format!("{name}-{vm}"), PAIR_BOOKINGS));
    let faulty = &*cluster;
    let faults = async {
        for (at, fault) in pair.into_iter().enumerate() {
            sleep(delay).await;
            fault.inject(faulty, at).await;
        }
    };
    let booked = book_twice(faulty, [0, 2], &first, faults);
    let later = async {
        sleep(delay * 2).await;
        book_twice(faulty, [1, 2], &second, async {}).await
    };
    let (booked, later, served) = futures::join!(booked, later, request_models(faulty, &name));
    let served = served + request_models(faulty, &name).await;
    for (at, fault) in pair.into_iter().enumerate() {
        fault.undo(cluster, at).await;
    }
    cluster.wait_until_reachable(RECOVERY_MAX).await;
    assert_once(cluster, &first, &booked).await;
    assert_once(cluster, &second, &later).await;
    served
}

/// Returns all pairs in random order, each with the delay between its two faults.
fn draw_pairs() -> Vec<([Fault; 2], Duration)> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let firsts = FAULTS.iter().enumerate();
    let pairs = firsts.flat_map(|(at, first)| FAULTS[at..].iter().map(|second| [*first, *second]));
    // There is only one store, and it can have only one fault at a time.
    let mut pairs: Vec<_> = pairs
        .filter(|pair| !pair.iter().all(|fault| fault.affects_store()))
        .collect();
    pairs.shuffle(&mut rng);
    let delay = |pair| (pair, Duration::from_millis(rng.random_range(0..400)));
    pairs.into_iter().map(delay).collect()
}

#[tokio::test]
async fn pairs_of_faults_violate_no_guarantee() {
    let pairs = std::env::var("GGT_PAIRS").map_or(PAIRS_DEFAULT, |pairs| pairs.parse().unwrap());
    let mut plan = ClusterPlan::default();
    plan.entry["whole_answer_timeout_ms"] = json!(2_000);
    let mut cluster = Cluster::start_published(plan).await;
    cluster.plain.set_faults(json!({"slow_ms": 300})).await;
    for (pair, delay) in draw_pairs().into_iter().take(pairs) {
        let start = Instant::now();
        let served = run_fault_pair(&mut cluster, pair, delay).await;
        println!(
            "{pair:?}, {delay:?} apart: {served} of 4 served, recovered after {:?}",
            start.elapsed()
        );
        for engine in &cluster.engines {
            assert_eq!(engine.record().await["overcommits"], 0, "{pair:?}");
        }
    }
}

const STREAM_COUNT: usize = 30;
const TOKENS_PER_STREAM: u32 = 60;

#[tokio::test]
async fn streams_of_an_entry_that_freezes_and_resumes_are_complete_or_fail_visibly() {
    let mut plan = ClusterPlan::default();
    plan.engine["token_us"] = json!(20_000);
    plan.entry["between_tokens_timeout_ms"] = json!(500);
    let cluster = Cluster::start_published(plan).await;
    let entry = cluster.vms[0].callers_address;
    let mut streams = Vec::new();
    for index in 0..STREAM_COUNT {
        let prompt = format!("stream {index}");
        let body = json!({
            "model": "model-0", "prompt": prompt, "max_tokens": TOKENS_PER_STREAM, "stream": true
        });
        let headers = [("content-type", "application/json")];
        let path = "/v1/completions";
        let open = cluster
            .caller
            .open(Method::POST, entry, path, &headers, body.to_string());
        let body = open.await.unwrap().into_body();
        streams.push(tokio::spawn(async move { (prompt, body.collect().await) }));
    }
    cluster.vms[0].entry.freeze();
    let other = cluster.vms[1].callers_address;
    let asked = timeout(
        RESPONSE_TIMEOUT,
        cluster.complete(other, "model-0", "meanwhile", 4),
    );
    assert_eq!(asked.await.unwrap().unwrap().status, StatusCode::OK);
    sleep(Duration::from_millis(1500)).await;
    cluster.vms[0].entry.thaw();
    let mut complete = 0;
    for ended in timeout(RESPONSE_TIMEOUT, join_all(streams)).await.unwrap() {
        let (prompt, body) = ended.unwrap();
        let Ok(body) = body else {
            continue;
        };
        let mut verifier =
            StreamVerifier::new(ReferenceText::new("model-0", &prompt), TOKENS_PER_STREAM);
        verifier.process_chunk(&body.to_bytes()).unwrap();
        assert_eq!(verifier.finish(), Ok(true), "{prompt}");
        complete += 1;
    }
    println!("{complete} of {STREAM_COUNT} streams are complete");
    assert!(complete * 10 >= STREAM_COUNT * 9, "{complete}");
    cluster.wait_until_reachable(RECOVERY_MAX).await;
}
