//! Explores all short schedules of faults of a leader and its successor, and checks that no two
//! nodes lead at the same time.
//!
//! `GGT_DEPTH` sets the number of faults in a schedule.

mod common {
    pub mod bounds;
    pub mod election_model;
    pub mod faulty_store;
    pub mod late_store;
    pub mod nodes;
    pub mod paused;
}

use {
    common::{
        bounds::bounds,
        election_model::{ElectionModel, FAULTS, Fault, LEASE_MS},
        paused::paused_runtime,
    },
    greengagetrail::{
        history::{LeaderOrder, check_leaders},
        node::Bounds,
    },
    std::thread,
};

const NODE_COUNT: usize = 2;
const STEPS_PER_FAULT: u32 = 26;
/// Observations after the last fault, within which a node has to lead again.
const RECOVERY_STEPS: u32 = 260;
const THREAD_COUNT: usize = 2;

/// Runs one schedule; returns the orders under judgement, and whether a node leads at the end.
async fn run_schedule(
    schedule: &[Fault],
    bounds: Bounds,
    fenced: bool,
) -> (Vec<LeaderOrder>, bool) {
    let mut model = ElectionModel::start(NODE_COUNT, 0, bounds, fenced);
    model.advance(STEPS_PER_FAULT).await;
    for fault in schedule {
        model.inject(*fault).await;
        model.advance(STEPS_PER_FAULT).await;
    }
    model.heal();
    model.advance(RECOVERY_STEPS).await;
    let is_led = model.is_led();
    (model.orders, is_led)
}

fn schedules(depth: u32) -> Vec<Vec<Fault>> {
    let count = FAULTS.len().pow(depth);
    let digit = |number: usize, place: u32| FAULTS[number / FAULTS.len().pow(place) % FAULTS.len()];
    (0..count)
        .map(|number| (0..depth).map(|place| digit(number, place)).collect())
        .collect()
}

/// Runs all schedules of a depth; returns the number of leader changes, and the schedules with a
/// violation or without a leader at the end.
fn explore(depth: u32, bounds: Bounds, fenced: bool) -> (usize, Vec<String>) {
    explore_all(&schedules(depth), bounds, fenced)
}

fn explore_all(all: &[Vec<Fault>], bounds: Bounds, fenced: bool) -> (usize, Vec<String>) {
    let parts: Vec<(usize, Vec<String>)> = thread::scope(|scope| {
        let chunks = all.chunks(all.len().div_ceil(THREAD_COUNT));
        let threads: Vec<_> = chunks
            .map(|chunk| scope.spawn(move || explore_part(chunk, bounds, fenced)))
            .collect();
        let parts = threads.into_iter();
        parts.map(|thread| thread.join().unwrap()).collect()
    });
    let leader_changes = parts.iter().map(|part| part.0).sum();
    (
        leader_changes,
        parts.into_iter().flat_map(|part| part.1).collect(),
    )
}

fn explore_part(schedules: &[Vec<Fault>], bounds: Bounds, fenced: bool) -> (usize, Vec<String>) {
    let (mut leader_changes, mut faults) = (0, Vec::new());
    for schedule in schedules {
        let (orders, is_led) = paused_runtime().block_on(run_schedule(schedule, bounds, fenced));
        leader_changes += orders
            .windows(2)
            .filter(|pair| pair[0].leader != pair[1].leader)
            .count();
        let fault = check_leaders(&orders, LEASE_MS).err();
        let fault = fault.map(|fault| fault.to_string());
        let fault = fault.or((!is_led).then(|| "no leader at the end".to_owned()));
        faults.extend(fault.map(|fault| format!("{schedule:?}: {fault}")));
    }
    (leader_changes, faults)
}

fn depth() -> u32 {
    let depth = std::env::var("GGT_DEPTH").ok();
    depth.map_or(3, |depth| depth.parse().unwrap())
}

fn assert_one_leader((leader_changes, faults): (usize, Vec<String>)) {
    assert!(
        faults.is_empty(),
        "{} schedules: {:#?}",
        faults.len(),
        &faults[..faults.len().min(5)]
    );
    assert!(leader_changes > 20, "{leader_changes} leader changes");
}

#[test]
fn every_short_schedule_keeps_one_leader_without_fencing() {
    let bounds = Bounds {
        fencing_enforced: false,
        ..bounds()
    };
    assert_one_leader(explore(depth(), bounds, false));
}

#[test]
fn every_short_schedule_keeps_one_connected_leader_with_fencing() {
    assert_one_leader(explore(depth(), bounds(), true));
}

#[test]
fn without_the_handover_wait_schedules_are_rejected() {
    // Where runners enforce fencing, a new leader waits for the platform's lease only, which is
    // zero here.
    let bounds = Bounds {
        lease_ms: 0,
        ..bounds()
    };
    for fenced in [false, true] {
        let (_, faults) = explore(1, bounds, fenced);
        assert!(
            faults.iter().any(|fault| fault.contains("a turn after")),
            "{faults:#?}"
        );
    }
}

/// Store calls hang while the watch reports that the leader key was deleted. The leader must act on
/// the watch instead of waiting for a call.
#[test]
fn a_leader_whose_store_calls_hang_stops_once_its_leader_key_is_deleted() {
    let last = |fault| {
        vec![
            Fault::LoseAnswers,
            Fault::RevokeLease,
            Fault::Nothing,
            fault,
        ]
    };
    let schedules: Vec<_> = FAULTS.into_iter().map(last).collect();
    let (_, faults) = explore_all(&schedules, bounds(), true);
    assert!(faults.is_empty(), "{faults:#?}");
}
