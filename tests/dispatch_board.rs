//! The runner registry: how listed entries, residency changes, peer reports and attempts at
//! runners change what is assigned and reported.

#[path = "common/board_rig.rs"]
mod board_rig;

use {
    board_rig::*,
    greengagetrail::{
        discovery::{RunnerKey, RunnerState},
        dispatch::{AttemptOutcome, NodeLoad, NodeReport, Variant},
    },
    std::time::Duration,
    tokio::time::{advance, timeout},
};

const DEFAULT_RETRY: Duration = Duration::from_millis(10);

async fn place_now(rig: &Rig, model: &str) -> Option<greengagetrail::dispatch::Assignment> {
    let wanted = wanted(model);
    timeout(DEFAULT_RETRY, rig.dispatcher.assign(&wanted))
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
        let place = place_now(&rig, "m1").await.unwrap();
        assert_eq!(name(&place), "c");
        drop(place);
    }
    assert!(place_now(&rig, "m1/a1").await.is_some());
    assert!(place_now(&rig, "m1/a2").await.is_none());
}

#[tokio::test(start_paused = true)]
async fn a_note_wins_over_the_entry_until_the_entry_shows_it() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    rig.board
        .apply_residency_change(&note("a", "m1", Some("a1"), true));
    assert!(place_now(&rig, "m1/a1").await.is_some());
    // An entry from before the change arrives late.
    rig.board.set_runners(vec![runner("a", &[("m1", &[])])]);
    assert!(place_now(&rig, "m1/a1").await.is_some());
    // The entry shows the adapter, and later that the adapter is gone.
    rig.board.set_runners(vec![runner("a", &[("m1", &["a1"])])]);
    assert!(place_now(&rig, "m1/a1").await.is_some());
    rig.board.set_runners(vec![runner("a", &[("m1", &[])])]);
    assert!(place_now(&rig, "m1/a1").await.is_none());
}

#[tokio::test(start_paused = true)]
async fn a_changed_entry_wins_over_a_note_from_before() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    rig.board
        .apply_residency_change(&note("a", "m1", None, false));
    advance(Duration::from_secs(1)).await;
    rig.board.set_runners(vec![runner("a", &[("m1", &["a1"])])]);
    assert!(place_now(&rig, "m1").await.is_none());
    advance(Duration::from_secs(2)).await;
    rig.board.set_runners(vec![runner("a", &[("m1", &["a2"])])]);
    assert!(place_now(&rig, "m1").await.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_note_that_no_entry_confirms_is_forgotten() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    rig.board
        .apply_residency_change(&note("a", "m2", None, true));
    rig.board
        .apply_residency_change(&note("a", "m1", None, false));
    assert!(place_now(&rig, "m2").await.is_some());
    assert!(place_now(&rig, "m1").await.is_none());
    advance(Duration::from_secs(6)).await;
    rig.board.expire();
    assert!(place_now(&rig, "m2").await.is_none());
    assert!(place_now(&rig, "m1").await.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_note_of_another_start_of_the_runner_means_nothing() {
    let rig = rig(vec![runner("a", &[])]);
    let mut former = note("a", "m1", None, true);
    former.born_unix_ms = 0;
    rig.board.apply_residency_change(&former);
    assert!(place_now(&rig, "m1").await.is_none());
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_lacks_the_model_is_not_asked_again() {
    let rig = rig(vec![runner("a", &[("m1", &["a1"])])]);
    place_now(&rig, "m1/a1")
        .await
        .unwrap()
        .finish(AttemptOutcome::Absent);
    assert!(place_now(&rig, "m1/a1").await.is_none());
    assert!(place_now(&rig, "m1").await.is_some());
    rig.board
        .apply_residency_change(&note("a", "m1", Some("a1"), true));
    assert!(place_now(&rig, "m1/a1").await.is_some());
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_runner_is_left_out_and_tried_again_one_by_one() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    let first = place_now(&rig, "m1").await.unwrap();
    first.finish(AttemptOutcome::Unreachable);
    assert!(place_now(&rig, "m1").await.is_none());
    advance(Duration::from_millis(300)).await;
    let probe = place_now(&rig, "m1").await.unwrap();
    assert!(place_now(&rig, "m1").await.is_none());
    probe.finish(AttemptOutcome::Complete);
    let places = [place_now(&rig, "m1").await, place_now(&rig, "m1").await];
    assert!(places.iter().all(Option::is_some));
}

#[tokio::test(start_paused = true)]
async fn another_start_of_a_runner_is_another_runner() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    let first = place_now(&rig, "m1").await.unwrap();
    let mut restarted = runner("a", &[("m1", &[])]);
    restarted.key.born_unix_ms = 2;
    rig.board.set_runners(vec![restarted]);
    assert_eq!(rig.board.runners()[0].in_flight, 0);
    drop(first);
    let place = place_now(&rig, "m1").await.unwrap();
    assert_eq!(place.runner.key.born_unix_ms, 2);
    assert_eq!(rig.board.runners()[0].in_flight, 1);
}

#[tokio::test(start_paused = true)]
async fn a_slow_runner_gets_less_and_later_another_chance() {
    let rig = rig(vec![desk("a"), desk("b"), desk("c")]);
    let mut asked_a = [0, 0];
    for round in 0..300 {
        let wanted = wanted_desk();
        let place = rig.dispatcher.assign(&wanted).await.unwrap();
        let is_a = name(&place) == "a";
        asked_a[usize::from(round >= 100)] += u32::from(is_a);
        advance(Duration::from_millis(if is_a { 250 } else { 50 })).await;
        place.finish(AttemptOutcome::Complete);
    }
    let [_, late] = asked_a;
    assert!((1..50).contains(&late), "{late}");
}

#[tokio::test(start_paused = true)]
async fn a_refusal_while_a_copy_is_only_noted_leaves_the_runner_in() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    rig.board
        .apply_residency_change(&note("a", "m2", None, true));
    for _ in 0..20 {
        let place = place_now(&rig, "m2").await.unwrap();
        place.finish(AttemptOutcome::Shed);
    }
    assert!(place_now(&rig, "m1").await.is_some());
    let place = place_now(&rig, "m1").await.unwrap();
    place.finish(AttemptOutcome::Shed);
    assert!(place_now(&rig, "m1").await.is_none());
}

fn outlier_rig() -> Rig {
    rig(["a", "b", "c", "d", "e", "f"].map(desk).into())
}

/// Sends requests one by one; runners whose name is in `failing` fail. Returns the failures.
async fn play(rig: &Rig, requests: u32, bad: &str) -> u32 {
    let mut failed = 0;
    for _ in 0..requests {
        let wanted = wanted_desk();
        let place = rig.dispatcher.assign(&wanted).await.unwrap();
        advance(Duration::from_millis(5)).await;
        if bad.contains(name(&place)) {
            failed += 1;
            place.finish(AttemptOutcome::Failed);
        } else {
            place.finish(AttemptOutcome::Complete);
        }
    }
    failed
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_fails_more_than_the_others_is_left_out_most_of_the_time() {
    let rig = outlier_rig();
    play(&rig, 200, "a").await;
    let failed = play(&rig, 400, "a").await;
    assert!((1..30).contains(&failed), "{failed}");
}

#[tokio::test(start_paused = true)]
async fn no_more_than_a_third_of_a_service_is_left_out() {
    let rig = outlier_rig();
    play(&rig, 400, "abcdef").await;
    let mut places = Vec::new();
    for _ in 0..4 {
        let wanted = wanted_desk();
        let place = timeout(DEFAULT_RETRY, rig.dispatcher.assign(&wanted)).await;
        places.push(place.unwrap().unwrap());
    }
    let mut names: Vec<_> = places.iter().map(name).collect();
    names.sort_unstable();
    names.dedup();
    assert!(names.len() >= 4, "{names:?}");
}

/// Applies a peer's report to the registry.
fn hear(rig: &Rig, fill: impl FnOnce(&mut NodeReport)) {
    let mut report = NodeReport::default();
    fill(&mut report);
    rig.board.apply_peer_report(&"peer".into(), report);
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
async fn the_load_of_peers_counts_until_it_is_too_old() {
    let rig = rig(vec![
        runner("a", &[("m1", &[])]),
        runner("b", &[("m1", &[])]),
    ]);
    hear(&rig, |report| {
        report.loads = vec![(key("a"), load(SLOTS, "m1"))]
    });
    let place = place_now(&rig, "m1").await.unwrap();
    assert_eq!(name(&place), "b");
    let views = rig.board.runners();
    assert_eq!((views[0].in_flight, views[1].in_flight), (SLOTS, 1));
    assert_eq!(views[0].in_use, [("m1".into(), None, SLOTS)]);
    advance(Duration::from_millis(1_600)).await;
    rig.board.expire();
    assert_eq!(rig.board.runners()[0].in_flight, 0);
}

#[tokio::test(start_paused = true)]
async fn a_peers_zero_ends_its_load() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    for requests in [3, 0] {
        hear(&rig, |report| {
            report.loads = vec![(key("a"), load(requests, "m1"))]
        });
        assert_eq!(rig.board.runners()[0].in_flight, requests);
    }
}

#[tokio::test(start_paused = true)]
async fn a_peer_tells_that_a_runner_is_leaving() {
    let rig = two_runners();
    hear(&rig, |report| report.leaving = vec![key("a")]);
    assert!(place_now(&rig, "m1").await.is_none());
    assert!(place_now(&rig, "m2").await.is_some());
    // A list that may be older than the report does not restore the runner, a newer one does.
    let list = || vec![runner("a", &[("m1", &[])]), runner("b", &[("m2", &[])])];
    advance(Duration::from_secs(1)).await;
    rig.board.set_runners(list());
    assert!(place_now(&rig, "m1").await.is_none());
    advance(Duration::from_secs(10)).await;
    assert!(place_now(&rig, "m1").await.is_none());
    rig.board.set_runners(list());
    assert!(place_now(&rig, "m1").await.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_a_peer_cannot_reach_is_left_out_for_a_moment() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    let place = place_now(&rig, "m1").await.unwrap();
    place.finish(AttemptOutcome::Unreachable);
    let report = rig.board.collect_report(false);
    assert_eq!(report.unreachable, [key("a")]);
    assert_eq!(rig.board.collect_report(true).unreachable, []);

    let peer = board_rig::rig(vec![runner("a", &[("m1", &[])])]);
    peer.board.apply_peer_report(&"n1".into(), report.clone());
    assert!(place_now(&peer, "m1").await.is_none());
    advance(Duration::from_millis(350)).await;
    place_now(&peer, "m1")
        .await
        .unwrap()
        .finish(AttemptOutcome::Complete);
    // A recent response to this node outweighs a peer's failure.
    peer.board.apply_peer_report(&"n1".into(), report);
    assert!(place_now(&peer, "m1").await.is_some());
}

#[tokio::test(start_paused = true)]
async fn leaving_runners_are_told() {
    let rig = rig(vec![runner("a", &[]), runner("b", &[]), runner("c", &[])]);
    let mut draining = runner("a", &[]);
    draining.state = RunnerState::Draining { remaining_ms: None };
    rig.board.set_runners(vec![draining, runner("b", &[])]);
    assert_eq!(
        rig.board.collect_report(false).leaving,
        [key("a"), key("c")]
    );
    advance(Duration::from_secs(4)).await;
    assert_eq!(rig.board.collect_report(true).leaving, []);
}

#[tokio::test(start_paused = true)]
async fn loads_are_told_three_times_after_a_change_and_in_each_full_round() {
    let rig = two_runners();
    let place = place_now(&rig, "m1").await.unwrap();
    let told = |all| {
        let loads = rig.board.collect_report(all).loads;
        loads
            .into_iter()
            .map(|(_, load)| load.requests)
            .collect::<Vec<_>>()
    };
    assert_eq!([told(false), told(false), told(false)], [[1], [1], [1]]);
    assert_eq!(told(false), [0; 0]);
    assert_eq!(told(true), [1]);
    drop(place);
    assert_eq!([told(false), told(true), told(false)], [[0], [0], [0]]);
    assert_eq!(told(true), [0; 0]);
}

#[tokio::test(start_paused = true)]
async fn demand_sums_up_own_requests_and_those_of_peers() {
    let rig = rig(vec![runner("a", &[("m1", &[])])]);
    let mut waiting_changes = rig.board.subscribe_waiting_demand();
    let dispatcher = rig.dispatcher.clone();
    let waiting = tokio::spawn(async move { dispatcher.assign(&wanted("rare")).await });
    settle().await;
    assert!(waiting_changes.has_changed().unwrap());
    waiting_changes.mark_unchanged();
    let own = rig.board.collect_report(false).demand;
    assert_eq!((own.len(), own[0].waiting), (1, 1));
    assert_eq!(rig.board.collect_report(false).demand, []);
    hear(&rig, |report| report.demand = own);
    assert!(waiting_changes.has_changed().unwrap());
    let demand = rig.board.demand();
    assert_eq!((demand.len(), demand[0].waiting), (1, 2));
    assert!(demand[0].requests_per_s > 1.0);
    waiting.abort();
    settle().await;
    assert_eq!(rig.board.demand()[0].waiting, 1);
    advance(Duration::from_secs(20)).await;
    rig.board.expire();
    assert_eq!(rig.board.demand(), []);
}
