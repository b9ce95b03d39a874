//! Bookings at a plain service, with each idempotency key sent to two entries.

#![allow(dead_code, reason = "each test uses a part of it")]

use {
    super::{caller::Answer, cluster::Cluster},
    futures::future::join_all,
    hyper::Method,
    serde_json::Value,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// How long a caller waits for a response before it sends its key to another entry.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

/// Requests tickets from an entry.
pub async fn mint_tickets(cluster: &Cluster, entry: SocketAddr, count: usize) -> Vec<String> {
    let path = format!("/services/desk/.tickets?count={count}");
    let minted = cluster.caller.call(Method::POST, entry, &path, &[], "");
    serde_json::from_value(minted.await.unwrap().json()["keys"].clone()).unwrap()
}

/// Books with an idempotency key; returns `None` when no response arrives in time.
pub async fn book(cluster: &Cluster, entry: SocketAddr, key: &str) -> Option<Answer> {
    let headers = [("idempotency-key", key)];
    let path = "/services/desk/book";
    let call = cluster
        .caller
        .call(Method::POST, entry, path, &headers, key.to_owned());
    timeout(CALLER_TIMEOUT, call).await.ok().flatten()
}

/// Returns how often the service executed each key.
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

/// Books every key at the entry of the first VM while `during` runs, then at that of the second,
/// and returns the responses.
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

/// Checks that no key ran twice, and that the outcomes reported to callers are correct.
pub async fn assert_once(cluster: &Cluster, keys: &[String], answers: &[[Option<Answer>; 2]]) {
    let runs = runs(cluster).await;
    let mut booked = 0;
    for (key, answers) in keys.iter().zip(answers) {
        let ran = runs.get(key).copied().unwrap_or(0);
        assert!(ran <= 1, "{key} ran {ran} times: {answers:?}");
        let reported = |outcome: &str| {
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
        assert!(
            done == 0 || ran == 1,
            "{key} was reported as done: {answers:?}"
        );
        assert!(
            reported("not-run") < 2 || ran == 0,
            "{key} was reported as not run: {answers:?}"
        );
        booked += ran;
    }
    println!("{booked} of {} keys ran, each once", keys.len());
}

/// Returns `count` distinct keys that start with `name`.
pub fn keys(name: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("{name}-{number}"))
        .collect()
}
