//! The runner registry: how listed entries, residency changes, peer reports and attempts at
//! runners change what is assigned and reported.

#[path = "common/registry_rig.rs"]
mod registry_rig;

use {
    greengagetrail::{
        discovery::{RunnerKey, RunnerState},
        dispatch::{AttemptOutcome, NodeLoad, NodeReport, Variant},
    },
    registry_rig::*,
    std::time::Duration,
    tokio::time::{advance, timeout},
};

const ASSIGN_TIMEOUT: Duration = Duration::from_millis(10);

async fn assign_now(rig: &Rig, model: &str) -> Option<greengagetrail::dispatch::Assignment> {
    let request = generation_request(model);
    timeout(ASSIGN_TIMEOUT, rig.dispatcher.assign(&request))
        .await
        .ok()?
        .ok()
}

#[tokio::test(start_paused = true)]
async fn only_ready_runners_that_hold_the_model_are_chosen() {
    let mut draining = runner("b", &[("m1", &[])]);
    draining.state = RunnerState::Draining { remaining_ms: None };
    let rig = rig(vec![
        runner("a", &[("m2", &[])]),
        draining,
        runner("c", &[("m1", &["a1"])]),
    ]);
    for _ in 0..SLOTS {
        let assignment = assign_now(&rig, "m1").await.unwrap();
        assert_eq!(runner_name(&assignment), "c");
        drop(assignment);
    }
    assert!(assign_now(&rig, "m1/a1").await.is_some());
    assert!(assign_now(&rig, "m1/a2").await.is_none());
}

#[tokio::test(start_paused = true)]
async fn a_residency_change_overrides_the_entry_until_the_entry_shows_it() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    rig.registry
        .apply_residency_change(&residency_change("a", "m1", Some("a1"), true));
    assert!(assign_now(&rig, "m1/a1").await.is_some());
    // An entry from before the change arrives late.
    rig.registry.set_runners(vec![runner("a", &[("m1", &[])])]);
    assert!(assign_now(&rig, "m1/a1").await.is_some());
    // The entry shows the adapter, and later that the adapter is gone.
    rig.registry
        .set_runners(vec![runner("a", &[("m1", &["a1"])])]);
    assert!(assign_now(&rig, "m1/a1").await.is_some());
    rig.registry.set_runners(vec![runner("a", &[("m1", &[])])]);
    assert!(assign_now(&rig, "m1/a1").await.is_none());
}

#[tokio::test(start_paused = true)]
async fn a_newer_entry_overrides_an_earlier_residency_change() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    rig.registry
        .apply_residency_change(&residency_change("a", "m1", None, false));
    advance(Duration::from_secs(1)).await;
    rig.registry
        .set_runners(vec![runner("a", &[("m1", &["a1"])])]);
    assert!(assign_now(&rig, "m1").await.is_none());
    advance(Duration::from_secs(2)).await;
    rig.registry
        .set_runners(vec![runner("a", &[("m1", &["a2"])])]);
    assert!(assign_now(&rig, "m1").await.is_some());
}

#[tokio::test(start_paused = true)]
async fn an_unconfirmed_residency_change_expires() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    rig.registry
        .apply_residency_change(&residency_change("a", "m2", None, true));
    rig.registry
        .apply_residency_change(&residency_change("a", "m1", None, false));
    assert!(assign_now(&rig, "m2").await.is_some());
    assert!(assign_now(&rig, "m1").await.is_none());
    advance(Duration::from_secs(6)).await;
    rig.registry.expire();
    assert!(assign_now(&rig, "m2").await.is_none());
    assert!(assign_now(&rig, "m1").await.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_residency_change_of_another_start_of_the_runner_is_ignored() {
    let rig = rig(vec![runner("a", &[])]);
    let mut former = residency_change("a", "m1", None, true);
    former.born_unix_ms = 0;
    rig.registry.apply_residency_change(&former);
    assert!(assign_now(&rig, "m1").await.is_none());
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_lacks_the_model_is_not_assigned_again() {
    let rig = rig(vec![runner("a", &[("m1", &["a1"])])]);
    assign_now(&rig, "m1/a1")
        .await
        .unwrap()
        .finish(AttemptOutcome::Absent);
    assert!(assign_now(&rig, "m1/a1").await.is_none());
    assert!(assign_now(&rig, "m1").await.is_some());
    rig.registry
        .apply_residency_change(&residency_change("a", "m1", Some("a1"), true));
    assert!(assign_now(&rig, "m1/a1").await.is_some());
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_runner_is_ejected_then_probed_with_one_request() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    let first = assign_now(&rig, "m1").await.unwrap();
    first.finish(AttemptOutcome::Unreachable);
    assert!(assign_now(&rig, "m1").await.is_none());
    advance(Duration::from_millis(300)).await;
    let probe = assign_now(&rig, "m1").await.unwrap();
    assert!(assign_now(&rig, "m1").await.is_none());
    probe.finish(AttemptOutcome::Complete);
    let assignments = [assign_now(&rig, "m1").await, assign_now(&rig, "m1").await];
    assert!(assignments.iter().all(Option::is_some));
}

#[tokio::test(start_paused = true)]
async fn a_service_serves_on_after_each_runner_responded_once_for_another() {
    let rig = rig(["a", "b", "c", "d"].map(plain_runner).into());
    for _ in 0..4 {
        let assignment = rig.dispatcher.assign(&plain_request()).await.unwrap();
        assignment.finish(AttemptOutcome::WrongRunner);
    }
    let request = plain_request();
    let next = timeout(Duration::from_secs(1), rig.dispatcher.assign(&request)).await;
    assert!(next.is_ok_and(|assigned| assigned.is_ok()));
}

#[tokio::test(start_paused = true)]
async fn a_runner_whose_address_belongs_to_another_gets_few_requests() {
    let rig = rig(["a", "b"].map(plain_runner).into());
    let mut requests_to_a = 0;
    for _ in 0..1000 {
        let assignment = rig.dispatcher.assign(&plain_request()).await.unwrap();
        let is_a = runner_name(&assignment) == "a";
        requests_to_a += u32::from(is_a);
        advance(Duration::from_millis(10)).await;
        assignment.finish(match is_a {
            true => AttemptOutcome::WrongRunner,
            false => AttemptOutcome::Complete,
        });
    }
    assert!((2..10).contains(&requests_to_a), "{requests_to_a}");
}

#[tokio::test(start_paused = true)]
async fn a_restarted_runner_is_tracked_as_another_runner() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    let first = assign_now(&rig, "m1").await.unwrap();
    let mut restarted = runner("a", &[("m1", &[])]);
    restarted.key.born_unix_ms = 2;
    rig.registry.set_runners(vec![restarted]);
    assert_eq!(rig.registry.runners()[0].in_flight, 0);
    drop(first);
    let assignment = assign_now(&rig, "m1").await.unwrap();
    assert_eq!(assignment.runner.key.born_unix_ms, 2);
    assert_eq!(rig.registry.runners()[0].in_flight, 1);
}

#[tokio::test(start_paused = true)]
async fn a_slow_runner_gets_few_requests_but_some() {
    let rig = rig(vec![
        plain_runner("a"),
        plain_runner("b"),
        plain_runner("c"),
    ]);
    let mut requests_to_a = [0, 0];
    for round in 0..300 {
        let request = plain_request();
        let assignment = rig.dispatcher.assign(&request).await.unwrap();
        let is_a = runner_name(&assignment) == "a";
        requests_to_a[usize::from(round >= 100)] += u32::from(is_a);
        advance(Duration::from_millis(if is_a { 250 } else { 50 })).await;
        assignment.finish(AttemptOutcome::Complete);
    }
    let [_, after_warm_up] = requests_to_a;
    assert!((1..50).contains(&after_warm_up), "{after_warm_up}");
}

#[tokio::test(start_paused = true)]
async fn a_refusal_before_an_entry_confirms_the_copy_does_not_eject() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    rig.registry
        .apply_residency_change(&residency_change("a", "m2", None, true));
    for _ in 0..20 {
        let assignment = assign_now(&rig, "m2").await.unwrap();
        assignment.finish(AttemptOutcome::Shed);
    }
    assert!(assign_now(&rig, "m1").await.is_some());
    let assignment = assign_now(&rig, "m1").await.unwrap();
    assignment.finish(AttemptOutcome::Shed);
    assert!(assign_now(&rig, "m1").await.is_none());
}

fn outlier_rig() -> Rig {
    rig(["a", "b", "c", "d", "e", "f"].map(plain_runner).into())
}

/// Sends requests one by one; runners whose name is in `failing` fail. Returns the failures.
async fn send_requests(rig: &Rig, requests: u32, failing: &str) -> u32 {
    let mut failed = 0;
    for _ in 0..requests {
        let request = plain_request();
        let assignment = rig.dispatcher.assign(&request).await.unwrap();
        advance(Duration::from_millis(5)).await;
        if failing.contains(runner_name(&assignment)) {
            failed += 1;
            assignment.finish(AttemptOutcome::Failed);
        } else {
            assignment.finish(AttemptOutcome::Complete);
        }
    }
    failed
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_fails_more_than_the_others_is_ejected_most_of_the_time() {
    let rig = outlier_rig();
    send_requests(&rig, 200, "a").await;
    let failed = send_requests(&rig, 400, "a").await;
    assert!((1..30).contains(&failed), "{failed}");
}

#[tokio::test(start_paused = true)]
async fn no_more_than_a_third_of_a_service_is_ejected() {
    let rig = outlier_rig();
    send_requests(&rig, 400, "abcdef").await;
    let mut assignments = Vec::new();
    for _ in 0..4 {
        let request = plain_request();
        let assignment = timeout(ASSIGN_TIMEOUT, rig.dispatcher.assign(&request)).await;
        assignments.push(assignment.unwrap().unwrap());
    }
    let mut names: Vec<_> = assignments.iter().map(runner_name).collect();
    names.sort_unstable();
    names.dedup();
    assert!(names.len() >= 4, "{names:?}");
}

/// Applies a peer's report to the registry.
fn apply_report(rig: &Rig, fill: impl FnOnce(&mut NodeReport)) {
    let mut report = NodeReport::default();
    fill(&mut report);
    rig.registry.apply_peer_report(&"peer".into(), report);
}

fn load(requests: u32, model: &str) -> NodeLoad {
    NodeLoad {
        requests,
        kv_tokens: u64::from(requests) * 200,
        prefill_tokens: 0,
        recent_tokens: 0,
        in_use: vec![(variant(model), requests)],
    }
}

fn variant(model: &str) -> Variant {
    Variant {
        model: model.into(),
        adapter: None,
    }
}

fn key(name: &str) -> RunnerKey {
    RunnerKey {
        id: name.into(),
        born_unix_ms: 1,
    }
}

#[tokio::test(start_paused = true)]
async fn the_load_of_peers_counts_until_it_expires() {
    let rig = rig(vec![
        runner("a", &[("m1", &[])]),
        runner("b", &[("m1", &[])]),
    ]);
    apply_report(&rig, |report| {
        report.loads = vec![(key("a"), load(SLOTS, "m1"))]
    });
    let assignment = assign_now(&rig, "m1").await.unwrap();
    assert_eq!(runner_name(&assignment), "b");
    let views = rig.registry.runners();
    assert_eq!((views[0].in_flight, views[1].in_flight), (SLOTS, 1));
    assert_eq!(views[0].in_use, [("m1".into(), None, SLOTS)]);
    advance(Duration::from_millis(1_600)).await;
    rig.registry.expire();
    assert_eq!(rig.registry.runners()[0].in_flight, 0);
}

#[tokio::test(start_paused = true)]
async fn a_report_without_requests_removes_a_peers_load() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    for requests in [3, 0] {
        apply_report(&rig, |report| {
            report.loads = vec![(key("a"), load(requests, "m1"))]
        });
        assert_eq!(rig.registry.runners()[0].in_flight, requests);
    }
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_a_peer_reports_as_leaving_gets_no_requests() {
    let rig = two_runners();
    apply_report(&rig, |report| report.leaving = vec![key("a")]);
    assert!(assign_now(&rig, "m1").await.is_none());
    assert!(assign_now(&rig, "m2").await.is_some());
    // A list that may be older than the report does not restore the runner, a newer one does.
    let list = || vec![runner("a", &[("m1", &[])]), runner("b", &[("m2", &[])])];
    advance(Duration::from_secs(1)).await;
    rig.registry.set_runners(list());
    assert!(assign_now(&rig, "m1").await.is_none());
    advance(Duration::from_secs(10)).await;
    assert!(assign_now(&rig, "m1").await.is_none());
    rig.registry.set_runners(list());
    assert!(assign_now(&rig, "m1").await.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_a_peer_cannot_reach_is_ejected_briefly() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    let assignment = assign_now(&rig, "m1").await.unwrap();
    assignment.finish(AttemptOutcome::Unreachable);
    let report = rig.registry.collect_report(false);
    assert_eq!(report.unreachable, [key("a")]);
    assert_eq!(rig.registry.collect_report(true).unreachable, []);

    let peer = registry_rig::rig(vec![runner("a", &[("m1", &[])])]);
    peer.registry
        .apply_peer_report(&"n1".into(), report.clone());
    assert!(assign_now(&peer, "m1").await.is_none());
    advance(Duration::from_millis(350)).await;
    assign_now(&peer, "m1")
        .await
        .unwrap()
        .finish(AttemptOutcome::Complete);
    // A recent response to this node outweighs a peer's failure.
    peer.registry.apply_peer_report(&"n1".into(), report);
    assert!(assign_now(&peer, "m1").await.is_some());
}

#[tokio::test(start_paused = true)]
async fn leaving_runners_are_reported() {
    let rig = rig(vec![runner("a", &[]), runner("b", &[]), runner("c", &[])]);
    let mut draining = runner("a", &[]);
    draining.state = RunnerState::Draining { remaining_ms: None };
    rig.registry.set_runners(vec![draining, runner("b", &[])]);
    assert_eq!(
        rig.registry.collect_report(false).leaving,
        [key("a"), key("c")]
    );
    advance(Duration::from_secs(4)).await;
    assert_eq!(rig.registry.collect_report(true).leaving, []);
}

#[tokio::test(start_paused = true)]
async fn loads_are_reported_three_times_after_a_change_and_in_each_full_round() {
    let rig = two_runners();
    let assignment = assign_now(&rig, "m1").await.unwrap();
    let reported_requests = |all| {
        let loads = rig.registry.collect_report(all).loads;
        loads
            .into_iter()
            .map(|(_, load)| load.requests)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        [
            reported_requests(false),
            reported_requests(false),
            reported_requests(false)
        ],
        [[1], [1], [1]]
    );
    assert_eq!(reported_requests(false), [0; 0]);
    assert_eq!(reported_requests(true), [1]);
    drop(assignment);
    assert_eq!(
        [
            reported_requests(false),
            reported_requests(true),
            reported_requests(false)
        ],
        [[0], [0], [0]]
    );
    assert_eq!(reported_requests(true), [0; 0]);
}

#[tokio::test(start_paused = true)]
async fn demand_is_the_sum_of_own_requests_and_those_of_peers() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    let mut waiting_demand = rig.registry.subscribe_waiting_demand();
    let dispatcher = rig.dispatcher.clone();
    let waiting = tokio::spawn(async move { dispatcher.assign(&generation_request("rare")).await });
    run_pending_tasks().await;
    assert!(waiting_demand.has_changed().unwrap());
    waiting_demand.mark_unchanged();
    let own = rig.registry.collect_report(false).demand;
    assert_eq!((own.len(), own[0].waiting), (1, 1));
    assert_eq!(rig.registry.collect_report(false).demand, []);
    apply_report(&rig, |report| report.demand = own);
    assert!(waiting_demand.has_changed().unwrap());
    let demand = rig.registry.demand();
    assert_eq!((demand.len(), demand[0].waiting), (1, 2));
    assert!(demand[0].requests_per_s > 1.0);
    waiting.abort();
    run_pending_tasks().await;
    assert_eq!(rig.registry.demand()[0].waiting, 1);
    advance(Duration::from_secs(20)).await;
    rig.registry.expire();
    assert_eq!(rig.registry.demand(), []);
}
