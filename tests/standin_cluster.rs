//! The whole path in processes: publish, whole and streamed answers, plain services, a killed
//! entry.

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
        bookings::{book, mint_tickets},
        cluster::{Cluster, ClusterPlan},
    },
    greengagetrail::{load::StreamVerifier, standin::ReferenceText},
    hyper::{Method, StatusCode},
    serde_json::json,
    std::time::Duration,
    tokio::time::{Instant, sleep, timeout},
};

#[tokio::test]
async fn callers_are_served_through_all_processes() {
    let mut cluster = Cluster::start_published(ClusterPlan::default()).await;
    let entry = cluster.vms[0].callers_address;
    let answer = cluster.ask(entry, "model-1", "hello", 8).await;
    let text = answer.json()["choices"][0]["text"]
        .as_str()
        .unwrap()
        .to_owned();
    assert!(ReferenceText::new("model-1", "hello").matches(0..8, &text));

    let body = json!({
        "model": "model-0", "prompt": "streamed", "max_tokens": 5, "stream": true
    });
    let answer = cluster
        .caller
        .post(entry, "/v1/completions", &body)
        .await
        .unwrap();
    assert!(
        answer.text().ends_with("data: [DONE]\n\n"),
        "{}",
        answer.text()
    );

    let booking = cluster
        .caller
        .call(Method::POST, entry, "/services/desk/book", &[], "{}")
        .await
        .unwrap();
    assert_eq!(booking.status, StatusCode::OK, "{}", booking.text());
    let record = cluster.plain.record().await;
    assert_eq!(record["runs"], 1);

    cluster.vms[0].entry.kill();
    let other = cluster.vms[1].callers_address;
    let answer = cluster.ask(other, "model-1", "hello", 8).await;
    assert_eq!(answer.status, StatusCode::OK);
    for engine in &cluster.engines {
        assert_eq!(engine.record().await["overcommits"], 0);
    }
}

/// The wait for an adapter that no runner holds yet.
const ADAPTER_LOAD_MAX: Duration = Duration::from_secs(15);

#[tokio::test]
async fn every_adapter_answers_at_the_entries_of_both_data_centres() {
    let plan = ClusterPlan {
        vms: 2,
        adapters: 2,
        ..ClusterPlan::default()
    };
    let cluster = Cluster::start_published(plan).await;
    for adapter in ["adapter-0", "adapter-1"] {
        for vm in &cluster.vms {
            let start = Instant::now();
            loop {
                let answer = cluster
                    .complete(vm.callers_address, adapter, "hello", 1)
                    .await;
                if answer
                    .as_ref()
                    .is_some_and(|answer| answer.status == StatusCode::OK)
                {
                    break;
                }
                let waited = start.elapsed();
                assert!(
                    waited < ADAPTER_LOAD_MAX,
                    "{adapter} at {}: {answer:?}",
                    vm.name
                );
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

#[tokio::test]
async fn a_booking_runs_once_per_key_at_whichever_entry() {
    let cluster = Cluster::start_published(ClusterPlan::default()).await;
    let entries = [0, 1, 2].map(|index| cluster.vms[index].callers_address);
    let minted = mint_tickets(&cluster, entries[0], 1).await.remove(0);
    for key in [minted.as_str(), "a-key-of-the-caller"] {
        let mut statuses = Vec::new();
        for entry in entries {
            let answer = book(&cluster, entry, key).await;
            statuses.push(answer.unwrap().status);
        }
        let expected = [StatusCode::OK, StatusCode::CONFLICT, StatusCode::CONFLICT];
        assert_eq!(statuses, expected, "{key}");
    }
    assert_eq!(cluster.plain.record().await["runs"], 2);
}

/// The longest silence before the first token that the test sets, in milliseconds.
const FIRST_TOKEN_TIMEOUT_MS: u64 = 500;

#[tokio::test]
async fn silent_connections_to_engines_cost_a_bounded_wait() {
    let mut plan = ClusterPlan::default();
    plan.entry["first_token_timeout_ms"] = json!(FIRST_TOKEN_TIMEOUT_MS);
    let cluster = Cluster::start_published(plan).await;
    let entry = cluster.vms[0].callers_address;
    for engine in &cluster.engines {
        engine.command("silence").await;
    }
    // One timeout on the silent connection of each engine, and time to spare for a busy machine.
    let longest = Duration::from_millis(FIRST_TOKEN_TIMEOUT_MS * 2) + Duration::from_secs(5);
    let body = json!({"model": "model-0", "prompt": "hello", "max_tokens": 5, "stream": true});
    let asked = cluster.caller.post(entry, "/v1/completions", &body);
    let answer = timeout(longest, asked).await.unwrap().unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    let expected = ReferenceText::new("model-0", "hello");
    let mut verifier = StreamVerifier::new(expected, 5);
    verifier.process_chunk(&answer.body).unwrap();
    assert_eq!(verifier.finish(), Ok(true));
}
