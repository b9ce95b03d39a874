//! Bookings of a plain service, each key tried at two entries.

#![allow(dead_code, reason = "each test uses a part of it")]

use {
    super::{caller::Answer, cluster::Cluster},
    futures::future::join_all,
    hyper::Method,
    serde_json::Value,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// How long a caller waits before it tries its key at another entry.
const CALLER_PATIENCE: Duration = Duration::from_secs(3);

/// Has tickets minted at an entry.
pub async fn mint(cluster: &Cluster, entry: SocketAddr, count: usize) -> Vec<String> {
    let path = format!("/services/desk/.tickets?count={count}");
    let minted = cluster.caller.call(Method::POST, entry, &path, &[], "");
    serde_json::from_value(minted.await.unwrap().json()["keys"].clone()).unwrap()
}

/// Books under a key; `None` when no answer came in time.
pub async fn book(cluster: &Cluster, entry: SocketAddr, key: &str) -> Option<Answer> {
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

/// Tries every key at the entry of the first VM, then of the second, and returns the answers.
pub async fn book_twice(
    cluster: &Cluster,
    vms: [usize; 2],
    keys: &[String],
    during: impl Future<Output = ()>,
) -> Vec<[Option<Answer>; 2]> {
    let [first, second] = vms.map(|vm| cluster.vms[vm].callers_address);
    let firsts = join_all(keys.iter().map(|key| book(cluster, first, key)));
    let (firsts, ()) = futures::join!(firsts, during);
    let seconds = join_all(keys.iter().map(|key| book(cluster, second, key))).await;
    firsts
        .into_iter()
        .zip(seconds)
        .map(|(a, b)| [a, b])
        .collect()
}

/// Checks that no key ran twice, and that what callers were told of it is true.
pub async fn assert_once(cluster: &Cluster, keys: &[String], answers: &[[Option<Answer>; 2]]) {
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

/// Returns so many keys of one name.
pub fn keys(name: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("{name}-{number}"))
        .collect()
}
