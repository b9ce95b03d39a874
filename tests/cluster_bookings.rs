//! Bookings through real processes while entries are killed and frozen and the store fails.

mod common {
    pub mod caller;
    pub mod cluster;
    pub mod process;
}

use {
    common::{
        caller::Answer,
        cluster::{Cluster, ClusterPlan},
    },
    futures::future::join_all,
    hyper::Method,
    serde_json::{Value, json},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::time::{sleep, timeout},
};

const BOOKINGS: usize = 40;
/// How long a caller waits before it tries its key at another entry.
const CALLER_PATIENCE: Duration = Duration::from_secs(3);

async fn book(cluster: &Cluster, entry: SocketAddr, key: &str) -> Option<Answer> {
    let headers = [("idempotency-key", key)];
    let path = "/services/desk/book";
    let call = cluster
        .caller
        .call(Method::POST, entry, path, &headers, key.to_owned());
    timeout(CALLER_PATIENCE, call).await.ok().flatten()
}

/// Returns how often each key ran at the service.
async fn runs(cluster: &Cluster) -> BTreeMap<String, u64> {
    let record = cluster.plain.record().await;
    let counts = record["runs_by_key"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let run = |count: &Value| {
        let name = count["name"].as_str().unwrap().to_owned();
        (name, count["runs"].as_u64().unwrap())
    };
    counts.iter().map(run).collect()
}

/// Tries every key at the first entry, then at the second, and returns the answers.
async fn book_twice(
    cluster: &Cluster,
    keys: &[String],
    during: impl Future<Output = ()>,
) -> Vec<[Option<Answer>; 2]> {
    let [first, second] = [0, 1].map(|vm| cluster.vms[vm].callers_address);
    let firsts = join_all(keys.iter().map(|key| book(cluster, first, key)));
    let (firsts, ()) = futures::join!(firsts, during);
    let seconds = join_all(keys.iter().map(|key| book(cluster, second, key))).await;
    firsts
        .into_iter()
        .zip(seconds)
        .map(|(a, b)| [a, b])
        .collect()
}

async fn assert_once(cluster: &Cluster, keys: &[String], answers: &[[Option<Answer>; 2]]) {
    let runs = runs(cluster).await;
    let mut booked = 0;
    for (key, answers) in keys.iter().zip(answers) {
        let ran = runs.get(key).copied().unwrap_or(0);
        assert!(ran <= 1, "{key} ran {ran} times: {answers:?}");
        let told = |outcome: &str| {
            let answers = answers.iter().flatten();
            answers
                .filter(|answer| answer.json()["outcome"] == outcome)
                .count()
        };
        let done = answers
            .iter()
            .flatten()
            .filter(|it| it.status.is_success())
            .count();
        assert!(done == 0 || ran == 1, "{key} was told as done: {answers:?}");
        assert!(
            told("not-run") < 2 || ran == 0,
            "{key} was told as not run: {answers:?}"
        );
        booked += ran;
    }
    println!("{booked} of {} keys ran, each once", keys.len());
}

fn keys(name: &str) -> Vec<String> {
    (0..BOOKINGS)
        .map(|number| format!("{name}-{number}"))
        .collect()
}

fn slow_service() -> Value {
    json!({"slow_ms": 300})
}

#[tokio::test]
async fn no_key_runs_twice_when_its_entry_is_killed_midway() {
    let mut cluster = Cluster::start_published(ClusterPlan::default()).await;
    cluster.plain.set_faults(slow_service()).await;
    for (round, delay_ms) in [5, 20, 60, 150, 350].into_iter().enumerate() {
        let keys = keys(&format!("killed-{round}"));
        let id = cluster.vms[0].entry.id().to_string();
        let kill = async {
            sleep(Duration::from_millis(delay_ms)).await;
            let killed = std::process::Command::new("kill")
                .args(["-KILL", &id])
                .status();
            assert!(killed.unwrap().success());
        };
        let answers = book_twice(&cluster, &keys, kill).await;
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
async fn no_key_runs_twice_when_its_entry_freezes_and_wakes() {
    let cluster = Cluster::start_published(ClusterPlan::default()).await;
    cluster.plain.set_faults(slow_service()).await;
    for (round, delay_ms) in [3, 15, 50, 200].into_iter().enumerate() {
        let keys = keys(&format!("frozen-{round}"));
        let freeze = async {
            sleep(Duration::from_millis(delay_ms)).await;
            cluster.vms[0].entry.freeze();
        };
        let answers = book_twice(&cluster, &keys, freeze).await;
        cluster.vms[0].entry.thaw();
        sleep(Duration::from_secs(1)).await;
        assert_once(&cluster, &keys, &answers).await;
    }
}

#[tokio::test]
async fn no_key_runs_twice_when_answers_of_the_store_are_lost() {
    let cluster = Cluster::start_published(ClusterPlan::default()).await;
    cluster.plain.set_faults(slow_service()).await;
    for round in 0..3 {
        let keys = keys(&format!("lost-{round}"));
        let lose = async {
            cluster.kv.set_faults(json!({"lost_answers": 6})).await;
        };
        let answers = book_twice(&cluster, &keys, lose).await;
        cluster.kv.set_faults(json!({})).await;
        assert_once(&cluster, &keys, &answers).await;
    }
}
