//! The choice among runners of unequal speed, learned from the events of their streams.

#[path = "common/registry_rig.rs"]
mod registry_rig;

use {
    greengagetrail::{
        capacity::late_end_cost_ms,
        dispatch::{AttemptOutcome, seed_draws},
    },
    registry_rig::*,
    std::time::Duration,
    tokio::time::advance,
};

const GAP_MS: u64 = 40;

/// Runs one stream of ten events; returns the name of its runner.
async fn run_stream(rig: &Rig, gap_ms: impl Fn(&str) -> u64) -> String {
    let mut request = generation_request("m1");
    if let Some(generation) = &mut request.generation {
        generation.prompt_tokens = 2_000;
    }
    let mut assignment = rig.dispatcher.assign(&request).await.unwrap();
    let runner = assignment.runner.key.id.to_string();
    for _ in 0..10 {
        advance(Duration::from_millis(gap_ms(&runner))).await;
        assignment.record_event(tokio::time::Instant::now());
    }
    assignment.finish(AttemptOutcome::Complete);
    runner
}

/// Returns a registry with four runners of one model.
fn four_runners() -> Rig {
    let runners = ["a", "b", "c", "d"].map(|name| runner(name, &[("m1", &[])]));
    rig_with_memory(runners.into(), 50_000)
}

/// The runner "a" needs three times as long as the others.
fn gap_with_slow_a(runner: &str) -> u64 {
    if runner == "a" { GAP_MS * 3 } else { GAP_MS }
}

async fn requests_at(rig: &Rig, name: &str, count: usize, gap_ms: fn(&str) -> u64) -> usize {
    let mut found = 0;
    for _ in 0..count {
        // Longer than connections stay idle.
        advance(Duration::from_secs(1)).await;
        found += usize::from(run_stream(rig, gap_ms).await == name);
    }
    found
}

#[tokio::test(start_paused = true)]
async fn a_slow_runner_gets_fewer_requests_and_more_again_when_it_recovers() {
    let rig = four_runners();
    requests_at(&rig, "a", 40, gap_with_slow_a).await;
    while run_stream(&rig, gap_with_slow_a).await != "a" {
        advance(Duration::from_secs(1)).await;
    }
    let speeds = rig.registry.speeds();
    let slow = speeds.iter().find(|speed| speed.runner == "a").unwrap();
    assert!(slow.slowness > 1.5, "{speeds:?}");
    let while_slow = requests_at(&rig, "a", 100, gap_with_slow_a).await;
    assert!(while_slow < 20, "{while_slow}");
    advance(Duration::from_secs(30)).await;
    requests_at(&rig, "a", 60, |_| GAP_MS).await;
    let recovered = requests_at(&rig, "a", 200, |_| GAP_MS).await;
    assert!(recovered > 30, "{recovered}");
}

#[tokio::test(start_paused = true)]
async fn runners_of_equal_speed_are_reported_to_nobody() {
    let rig = four_runners();
    requests_at(&rig, "a", 60, |_| GAP_MS).await;
    assert!(rig.registry.speeds().is_empty());
    assert!(rig.registry.speed_reports().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_node_learns_from_the_reports_of_its_peers() {
    let (informed, other) = (four_runners(), four_runners());
    requests_at(&informed, "a", 40, gap_with_slow_a).await;
    let mut has_learned = false;
    for _ in 0..150 {
        advance(Duration::from_secs(1)).await;
        run_stream(&informed, gap_with_slow_a).await;
        other
            .registry
            .apply_speed_reports(&informed.registry.speed_reports());
        has_learned |= !other.registry.speeds().is_empty();
    }
    assert!(
        has_learned,
        "the peers' reports show that the runners differ"
    );
}

#[tokio::test(start_paused = true)]
async fn requests_return_to_the_runner_with_an_idle_connection() {
    for seed in 0..200 {
        seed_draws(seed);
        let rig = four_runners();
        requests_at(&rig, "a", 40, gap_with_slow_a).await;
        let mut last = run_stream(&rig, gap_with_slow_a).await;
        let (mut sent, mut returns) = (0, 0);
        // The speed of a runner that gets no requests is forgotten; until it is measured again, the
        // runners count as equal and connections don't matter.
        while sent < 50 {
            let are_uneven = !rig.registry.speeds().is_empty();
            let next = run_stream(&rig, gap_with_slow_a).await;
            if are_uneven {
                sent += 1;
                returns += usize::from(next == last);
            }
            last = next;
        }
        assert!(returns > 40, "seed {seed}: {returns}");
    }
}

#[test]
fn a_runner_that_ends_a_response_in_time_costs_nothing_more() {
    let ms = Duration::from_millis;
    assert_eq!(late_end_cost_ms(ms(9_000), ms(9_000)), 0.0);
    assert!(late_end_cost_ms(ms(12_000), ms(9_000)) > 100.0);
    assert!(late_end_cost_ms(ms(14_000), ms(9_000)) > late_end_cost_ms(ms(12_000), ms(9_000)));
}
