//! Systems of real processes under kills, freezes, outages of the store and planned stops.

mod common {
    pub mod caller;
    pub mod cluster;
    pub mod links;
    pub mod operator;
    pub mod ports;
    pub mod process;
}

use {
    common::{
        cluster::{Cluster, ClusterPlan, OPERATOR_KEY},
        operator::{self, PublishResult},
    },
    greengagetrail::{
        engine::Action,
        fleet::{AuditEvent, AuditRecord, read_audit},
        standin::ReferenceText,
        store::{EtcdStore, StoreTimeouts},
        units::Revision,
    },
    http_body_util::BodyExt,
    hyper::{Method, StatusCode},
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// The time within which an accepted revision must be in force at every VM.
const IN_FORCE_MAX: Duration = Duration::from_secs(16);
/// The time after which a leaving backend server must get no new requests.
const LEAVING_MAX: Duration = Duration::from_secs(5);
/// The timeout for a change of owner; far longer than one takes.
const RECOVERY_MAX: Duration = Duration::from_secs(30);
const STORE_TIMEOUTS: StoreTimeouts = StoreTimeouts {
    call_ms: 5_000,
    watch_silence_ms: 5_000,
};
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn extra_model(cluster: &Cluster, name: &str) -> Vec<Value> {
    let mut objects = cluster.objects();
    objects.push(json!({
        "kind": "model", "name": name, "version": "1", "memory_mib": cluster.plan.model_mib
    }));
    objects
}

async fn is_listed(cluster: &Cluster, entry: SocketAddr, model: &str) -> bool {
    let answer = cluster.caller.get(entry, "/v1/models").await;
    answer.is_some_and(|answer| answer.text().contains(&format!("\"{model}\"")))
}

async fn wait_until_listed(cluster: &Cluster, model: &str, since: Instant, longest: Duration) {
    for vm in &cluster.vms {
        while !is_listed(cluster, vm.callers_address, model).await {
            assert!(
                since.elapsed() < longest,
                "{} does not know {model}",
                vm.name
            );
            sleep(POLL_INTERVAL).await;
        }
    }
    println!("{model} in force everywhere after {:?}", since.elapsed());
}

async fn assert_no_overcommit(cluster: &Cluster) {
    for engine in &cluster.engines {
        let record = engine.record().await;
        assert_eq!(record["overcommits"], 0, "{record}");
    }
}

#[tokio::test]
async fn an_accepted_revision_reaches_every_vm_although_the_store_fails_right_after() {
    let mut cluster = Cluster::start_published(ClusterPlan::default()).await;
    let objects = extra_model(&cluster, "late-model");
    let keeper = cluster.vms[0].operator_address;
    let result = operator::publish(keeper, OPERATOR_KEY, &objects, Revision(1), "anna").await;
    cluster.kv.set_faults(json!({"down": true})).await;
    let accepted = Instant::now();
    assert!(matches!(result, PublishResult::Published(_)), "{result:?}");
    wait_until_listed(&cluster, "late-model", accepted, IN_FORCE_MAX).await;
    cluster.vms[2].entry.kill();
    cluster.vms[2].keeper.kill();
    let restarted = Instant::now();
    cluster.vms[2].restart_keeper();
    cluster.vms[2].restart_entry();
    wait_until_listed(&cluster, "late-model", restarted, IN_FORCE_MAX).await;
    let answer = cluster
        .ask(cluster.vms[0].callers_address, "model-0", "x", 2)
        .await;
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn of_concurrent_publishers_one_wins_each_revision_and_the_others_get_a_conflict() {
    let cluster = Cluster::start_published(ClusterPlan::default()).await;
    let mut newest = Revision(1);
    for round in 0..4 {
        let objects = extra_model(&cluster, &format!("raced-{round}"));
        let publications = cluster.vms.iter().map(|vm| {
            operator::publish(
                vm.operator_address,
                OPERATOR_KEY,
                &objects,
                newest,
                &vm.name,
            )
        });
        let results = futures::future::join_all(publications).await;
        let won = results
            .iter()
            .filter(|result| matches!(result, PublishResult::Published(_)))
            .count();
        assert_eq!(won, 1, "round {round}: {results:?}");
        newest = newest.next();
        for result in &results {
            match result {
                PublishResult::Published(head) | PublishResult::Conflict(head) => {
                    assert_eq!(head.revision, newest, "round {round}");
                }
                other => panic!("round {round}: {other:?}"),
            }
        }
    }
    wait_until_listed(&cluster, "raced-3", Instant::now(), IN_FORCE_MAX).await;
    for vm in &cluster.vms {
        let at = vm.keeper_operations_address;
        let metrics = cluster.caller.get(at, "/metrics").await.unwrap().text();
        let wanted = format!("ggt_configuration_revision {newest}");
        assert!(metrics.contains(&wanted), "{}: {metrics}", vm.name);
    }
}

#[tokio::test]
async fn an_invalid_configuration_is_rejected_and_changes_nothing() {
    let cluster = Cluster::start_published(ClusterPlan::default()).await;
    let mut objects = extra_model(&cluster, "good-model");
    objects.push(json!({"kind": "adapter", "name": "lost", "model": "nowhere", "memory_mib": 1}));
    let keeper = cluster.vms[1].operator_address;
    let result = operator::publish(keeper, OPERATOR_KEY, &objects, Revision(1), "anna").await;
    let PublishResult::Refused(faults) = result else {
        panic!("{result:?}");
    };
    assert!(
        faults.iter().any(|fault| fault.contains("nowhere")),
        "{faults:?}"
    );
    assert_eq!(operator::revision(keeper, OPERATOR_KEY).await, 1);
    assert!(!is_listed(&cluster, cluster.vms[1].callers_address, "good-model").await);
}

async fn owner_of(cluster: &Cluster, runner: &str) -> (usize, u64) {
    for (index, vm) in cluster.vms.iter().enumerate() {
        let log = vm.keeper.log();
        let line = log
            .lines()
            .rev()
            .find(|line| line.contains(&format!("owns {runner} under")));
        let lost = log
            .lines()
            .rev()
            .find(|line| line.contains(&format!("gave up {runner}")));
        if let Some(line) = line
            && lost.is_none_or(|lost| lost < line)
        {
            let epoch = line.rsplit(' ').next().unwrap().parse().unwrap();
            return (index, epoch);
        }
    }
    panic!("no keeper owns {runner}");
}

async fn wait_for_epoch(cluster: &Cluster, runner: &str, above: u64, watching: usize) -> u64 {
    let start = Instant::now();
    loop {
        let keeper = cluster.vms[watching].operator_address;
        let status = operator::status(keeper, OPERATOR_KEY)
            .await
            .unwrap_or_default();
        let runners = status["runners"].as_array().cloned().unwrap_or_default();
        let state = runners.iter().find(|state| state["name"] == runner);
        let epoch = state.and_then(|state| state["epoch"].as_u64()).unwrap_or(0);
        if epoch > above {
            println!("{runner} has a new owner after {:?}", start.elapsed());
            return epoch;
        }
        assert!(
            start.elapsed() < RECOVERY_MAX,
            "{runner} keeps its lost owner"
        );
        sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test]
async fn runners_of_a_killed_keeper_get_a_new_owner_while_callers_are_served() {
    let mut cluster = Cluster::start_published(ClusterPlan::default()).await;
    let (owner, epoch) = owner_of(&cluster, "runner-0").await;
    cluster.vms[owner].keeper.kill();
    let watching = (owner + 1) % cluster.vms.len();
    let entry = cluster.vms[owner].callers_address;
    let answer = cluster.ask(entry, "model-0", "after the kill", 3).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    wait_for_epoch(&cluster, "runner-0", epoch, watching).await;
    let objects = extra_model(&cluster, "new-model");
    let keeper = cluster.vms[watching].operator_address;
    operator::publish(keeper, OPERATOR_KEY, &objects, Revision(1), "anna").await;
    cluster.vms[owner].restart_keeper();
    let start = Instant::now();
    loop {
        let answer = cluster.ask(entry, "new-model", "hello", 3).await;
        if answer.status == StatusCode::OK {
            break;
        }
        assert!(start.elapsed() < RECOVERY_MAX, "{}", answer.text());
        sleep(POLL_INTERVAL).await;
    }
    assert_no_overcommit(&cluster).await;
}

#[tokio::test]
async fn a_keeper_frozen_past_its_lease_resumes_without_overcommitting_memory() {
    for fencing in ["honoured", "ignored"] {
        let mut plan = ClusterPlan::default();
        plan.engine["fencing"] = json!(fencing);
        let cluster = Cluster::start_published(plan).await;
        let (owner, epoch) = owner_of(&cluster, "runner-1").await;
        cluster.vms[owner].keeper.freeze();
        let watching = (owner + 1) % cluster.vms.len();
        wait_for_epoch(&cluster, "runner-1", epoch, watching).await;
        let objects = extra_model(&cluster, "while-frozen");
        let keeper = cluster.vms[watching].operator_address;
        let result = operator::publish(keeper, OPERATOR_KEY, &objects, Revision(1), "anna").await;
        assert!(matches!(result, PublishResult::Published(_)), "{result:?}");
        sleep(Duration::from_secs(2)).await;
        cluster.vms[owner].keeper.thaw();
        wait_until_listed(&cluster, "while-frozen", Instant::now(), IN_FORCE_MAX).await;
        cluster.wait_until_reachable(RECOVERY_MAX).await;
        assert_no_overcommit(&cluster).await;
    }
}

#[tokio::test]
async fn a_leaving_engine_gets_no_new_requests_before_the_vm_list_shows_it() {
    let cluster = Cluster::start_published(ClusterPlan::default()).await;
    cluster.engines[0]
        .set_faults(json!({"leaving": true}))
        .await;
    let announced_at = Instant::now();
    sleep(LEAVING_MAX).await;
    cluster.wait_until_reachable(RECOVERY_MAX).await;
    println!(
        "every model answers again after {:?}",
        announced_at.elapsed()
    );
    let before = cluster.engines[0].record().await;
    for round in 0..40 {
        let entry = cluster.vms[round % 3].callers_address;
        let answer = cluster.ask(entry, "model-0", &format!("{round}"), 2).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    }
    let after = cluster.engines[0].record().await;
    assert_eq!(
        before["runs"], after["runs"],
        "a leaving engine got new requests"
    );
    assert_eq!(
        before["refused"], after["refused"],
        "a leaving engine was sent requests that it refused"
    );
}

#[tokio::test]
async fn a_backend_server_listed_as_leaving_gets_no_new_requests() {
    let cluster = Cluster::start_published(ClusterPlan::default()).await;
    let engine = cluster.engines[1].address;
    let vms = cluster
        .vms
        .iter()
        .map(|vm| json!({"vm": vm.name, "address": vm.callers_address, "state": "live"}));
    let mut listed: Vec<Value> = vms.collect();
    listed.push(json!({"vm": "engine-1", "address": engine, "state": "leaving"}));
    listed.push(json!({"vm": "desk-1", "address": cluster.plain.address, "state": "leaving"}));
    cluster.vm_list.set_faults(json!({"vms": listed})).await;
    // The list is read every 10 s ± 25%; the bound starts at the read.
    sleep(Duration::from_millis(12_500) + LEAVING_MAX).await;
    let before = cluster.engines[1].record().await["runs"].clone();
    for round in 0..20 {
        let entry = cluster.vms[round % 3].callers_address;
        cluster.ask(entry, "model-1", &format!("{round}"), 2).await;
        let refused = cluster
            .caller
            .get(entry, "/services/desk/price")
            .await
            .unwrap();
        assert_eq!(refused.json()["outcome"], "not-run", "{}", refused.text());
    }
    assert_eq!(cluster.engines[1].record().await["runs"], before);
}

#[tokio::test]
async fn a_planned_stop_of_an_entry_interrupts_no_stream() {
    let plan = ClusterPlan {
        engine: json!({"memory_mib": 40_000, "adapter_pool_mib": 2_000, "token_us": 20_000}),
        ..ClusterPlan::default()
    };
    let mut cluster = Cluster::start_published(plan).await;
    let entry = cluster.vms[0].callers_address;
    let mut streams = Vec::new();
    for index in 0..60 {
        let prompt = format!("stream {index}");
        let body = json!({
            "model": "model-0", "prompt": prompt, "max_tokens": 100, "stream": true
        });
        let headers = [("content-type", "application/json")];
        let path = "/v1/completions";
        let open = cluster
            .caller
            .open(Method::POST, entry, path, &headers, body.to_string());
        let response = open.await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        streams.push(tokio::spawn(response.into_body().collect()));
    }
    let stopped = Instant::now();
    cluster.vms[0].entry.terminate();
    sleep(Duration::from_millis(200)).await;
    let operations = cluster.vms[0].entry_operations_address;
    let readiness = cluster.caller.get(operations, "/readyz").await.unwrap();
    assert_eq!(readiness.status, StatusCode::SERVICE_UNAVAILABLE);
    for (index, stream) in streams.into_iter().enumerate() {
        let body = stream
            .await
            .unwrap()
            .expect("a stream was interrupted")
            .to_bytes();
        let text = String::from_utf8(body.to_vec()).unwrap();
        assert!(text.ends_with("data: [DONE]\n\n"), "stream {index}: {text}");
        let reference = ReferenceText::new("model-0", &format!("stream {index}"));
        assert!(
            reference.matches(0..100, &join_texts(&text)),
            "stream {index}: {text}"
        );
    }
    let status = cluster.vms[0].entry.wait(Duration::from_secs(20));
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    println!("the entry stopped after {:?}", stopped.elapsed());
}

/// Concatenates the texts of a stream's events.
fn join_texts(stream: &str) -> String {
    let events = stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let events = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    events
        .map(|event| {
            event["choices"][0]["text"]
                .as_str()
                .unwrap_or("")
                .to_owned()
        })
        .collect()
}

#[tokio::test]
async fn a_planned_stop_of_a_keeper_releases_its_runners_before_its_lease_ends() {
    let plan = ClusterPlan {
        keeper: json!({"log_level": "debug", "lease_ttl_s": 60}),
        ..ClusterPlan::default()
    };
    let mut cluster = Cluster::start_published(plan).await;
    let (owner, epoch) = owner_of(&cluster, "runner-0").await;
    cluster.vms[owner].keeper.terminate();
    let watching = (owner + 1) % cluster.vms.len();
    wait_for_epoch(&cluster, "runner-0", epoch, watching).await;
    let status = cluster.vms[owner].keeper.wait(Duration::from_secs(20));
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let answer = cluster
        .ask(cluster.vms[owner].callers_address, "model-0", "x", 2)
        .await;
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn callers_are_served_throughout_a_long_outage_of_the_store() {
    let cluster = Cluster::start_published(ClusterPlan::default()).await;
    cluster.kv.set_faults(json!({"silent": true})).await;
    let start = Instant::now();
    let mut booked = 0;
    let entry = cluster.vms[0].callers_address;
    while start.elapsed() < Duration::from_secs(12) {
        let answer = cluster.ask(entry, "model-1", "outage", 2).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        let path = "/services/desk/book";
        let booking = cluster
            .caller
            .call(Method::POST, entry, path, &[], "{}")
            .await
            .unwrap();
        assert_eq!(booking.status, StatusCode::OK, "{}", booking.text());
        booked += 1;
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(cluster.plain.record().await["runs"], booked);
    cluster.kv.set_faults(json!({})).await;
    let objects = extra_model(&cluster, "after-outage");
    let keeper = cluster.vms[2].operator_address;
    let result = operator::publish(keeper, OPERATOR_KEY, &objects, Revision(1), "anna").await;
    assert!(matches!(result, PublishResult::Published(_)), "{result:?}");
    wait_until_listed(&cluster, "after-outage", Instant::now(), IN_FORCE_MAX).await;
    assert_no_overcommit(&cluster).await;
}

#[tokio::test]
async fn the_audit_records_name_the_decision_behind_each_order() {
    let cluster = Cluster::start_published(ClusterPlan::default()).await;
    let store = EtcdStore::new(vec![cluster.kv.address], STORE_TIMEOUTS);
    let start = Instant::now();
    loop {
        let records = read_audit(&store, 100).await.unwrap();
        let loads = records.iter().filter(|record| {
            record.event == AuditEvent::Reserved
                && matches!(record.action, Action::LoadModel { .. })
                && record.decision.as_deref() == Some("placement")
        });
        let is_settled = |record: &AuditRecord| {
            let settles = |other: &&AuditRecord| {
                other.order == record.order && other.event == AuditEvent::Settled
            };
            records.iter().any(|other| settles(&other))
        };
        if loads.filter(|record| is_settled(record)).count() >= cluster.plan.models {
            return;
        }
        assert!(start.elapsed() < RECOVERY_MAX, "{records:?}");
        sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test]
async fn a_drain_by_an_operator_releases_runners_and_stops_the_entry() {
    let mut cluster = Cluster::start_published(ClusterPlan::default()).await;
    let (owner, epoch) = owner_of(&cluster, "runner-0").await;
    operator::drain(cluster.vms[owner].operator_address, OPERATOR_KEY).await;
    let watching = (owner + 1) % cluster.vms.len();
    wait_for_epoch(&cluster, "runner-0", epoch, watching).await;
    let status = cluster.vms[owner].entry.wait(RECOVERY_MAX);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let keeper = cluster.vms[owner].operator_address;
    let status = operator::status(keeper, OPERATOR_KEY).await.unwrap();
    assert_eq!(status["draining"], true);
    cluster.vms[owner].keeper.terminate();
    let status = cluster.vms[owner].keeper.wait(Duration::from_secs(20));
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let other = cluster.vms[watching].callers_address;
    let answer = cluster.ask(other, "model-0", "after the drain", 2).await;
    assert_eq!(answer.status, StatusCode::OK);
}
