//! Seeded runs of a leader election among several nodes, judged by the history checker of leaders.
//!
//! `GGT_SEEDS` sets the number of seeds.

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
        history::{LeaderOrder, LeaderViolation, check_leaders},
        node::Bounds,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::thread,
};

/// The default number of seeds of each kind of run.
const DEFAULT_SEEDS: u64 = 40;
const THREAD_COUNT: u64 = 2;
const FAULTS_PER_RUN: usize = 14;
/// Observations after the last fault, within which a node has to lead again.
const RECOVERY_STEPS: u32 = 260;

fn seeds() -> u64 {
    let seeds = std::env::var("GGT_SEEDS").ok();
    seeds.map_or(DEFAULT_SEEDS, |seeds| seeds.parse().unwrap())
}

/// Injects faults into the leader or random nodes, some of them in quick succession.
async fn run_nodes(seed: u64, bounds: Bounds, fenced: bool) -> (Vec<LeaderOrder>, bool) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = rng.random_range(2..6);
    let mut model = ElectionModel::start(count, seed, bounds, fenced);
    model.advance(rng.random_range(1..60)).await;
    for _ in 0..FAULTS_PER_RUN {
        let fault = match rng.random_range(0..4) {
            0 => Fault::Heal,
            _ => FAULTS[rng.random_range(0..FAULTS.len())],
        };
        match rng.random_range(0..3) {
            0 => model.inject_at(fault, rng.random_range(0..count)).await,
            _ => model.inject(fault).await,
        }
        let steps_max = if rng.random_range(0..3) == 0 { 5 } else { 120 };
        model.advance(rng.random_range(0..steps_max)).await;
    }
    model.heal();
    model.advance(RECOVERY_STEPS).await;
    let is_led = model.is_led();
    (model.orders, is_led)
}

/// Checks the run of one seed; returns the number of leader changes.
fn check_seed(seed: u64, bounds: Bounds, fenced: bool) -> usize {
    let (orders, is_led) = paused_runtime().block_on(run_nodes(seed, bounds, fenced));
    check_leaders(&orders, LEASE_MS).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    assert!(is_led, "seed {seed}: no leader at the end");
    let pairs = orders.windows(2);
    pairs
        .filter(|pair| pair[0].leader != pair[1].leader)
        .count()
}

/// Checks the runs of all seeds; returns the number of leader changes in them.
fn check_all_seeds(bounds: Bounds, fenced: bool) -> usize {
    thread::scope(|scope| {
        let part = |first: u64| {
            let seeds = (first..seeds()).step_by(THREAD_COUNT as usize);
            seeds
                .map(|seed| check_seed(seed, bounds, fenced))
                .sum::<usize>()
        };
        let threads: Vec<_> = (0..THREAD_COUNT)
            .map(|first| scope.spawn(move || part(first)))
            .collect();
        threads.into_iter().map(|part| part.join().unwrap()).sum()
    })
}

#[test]
fn one_leader_at_a_time_without_fencing() {
    let bounds = Bounds {
        fencing_enforced: false,
        ..bounds()
    };
    assert!(check_all_seeds(bounds, false) > 20);
}

#[test]
fn one_connected_leader_at_a_time_with_fencing() {
    assert!(check_all_seeds(bounds(), true) > 20);
}

#[test]
fn without_the_handover_wait_runs_are_rejected() {
    let bounds = Bounds {
        lease_ms: 0,
        ..bounds()
    };
    for fenced in [false, true] {
        let is_rejected = |seed| {
            let (orders, _) = paused_runtime().block_on(run_nodes(seed, bounds, fenced));
            matches!(
                check_leaders(&orders, LEASE_MS),
                Err(LeaderViolation::EarlyTakeover { .. })
            )
        };
        let rejected = (0..20).filter(|seed| is_rejected(*seed)).count();
        assert!(rejected > 0, "fenced: {fenced}");
    }
}

#[test]
fn the_checker_rejects_mutated_histories() {
    let (orders, _) = paused_runtime().block_on(run_nodes(1, bounds(), true));
    let index = orders.windows(2).position(|p| p[0].leader != p[1].leader);
    let index = index.unwrap() + 1;
    let mutate = |change: &dyn Fn(&mut [LeaderOrder])| {
        let mut orders = orders.clone();
        change(&mut orders);
        check_leaders(&orders, LEASE_MS).unwrap_err()
    };
    let lower = mutate(&|orders| orders[index].token = 0);
    assert!(
        matches!(lower, LeaderViolation::LowerToken { .. }),
        "{lower}"
    );
    let shared = mutate(&|orders| orders[index].token = orders[index - 1].token);
    assert!(
        matches!(shared, LeaderViolation::SharedToken { .. }),
        "{shared}"
    );
    let early = mutate(&|orders| orders[index - 1].at_ms = orders[index].at_ms - LEASE_MS + 1);
    assert!(
        matches!(early, LeaderViolation::EarlyTakeover { gap_ms: 2_999, .. }),
        "{early}"
    );
}
