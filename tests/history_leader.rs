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
        election_model::{FAULTS, Fault, LEASE_MS, SeatModel},
        paused::paused_runtime,
    },
    greengagetrail::{
        history::{HolderFault, HolderOrder, check_holders},
        node::Bounds,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::thread,
};

/// The default number of seeds of each kind of run.
const SEEDS: u64 = 40;
const THREADS: u64 = 2;
const STRIKES: usize = 14;
/// Observations after the last fault, within which a node has to lead again.
const LOOKS_AFTER: u32 = 260;

fn seeds() -> u64 {
    let seeds = std::env::var("GGT_SEEDS").ok();
    seeds.map_or(SEEDS, |seeds| seeds.parse().unwrap())
}

/// Injects faults into the leader or random nodes, some of them in quick succession.
async fn run_nodes(seed: u64, bounds: Bounds, fenced: bool) -> (Vec<HolderOrder>, bool) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = rng.random_range(2..6);
    let mut model = SeatModel::start(count, seed, bounds, fenced);
    model.look(rng.random_range(1..60)).await;
    for _ in 0..STRIKES {
        let fault = match rng.random_range(0..4) {
            0 => Fault::Heal,
            _ => FAULTS[rng.random_range(0..FAULTS.len())],
        };
        match rng.random_range(0..3) {
            0 => model.strike_at(fault, rng.random_range(0..count)).await,
            _ => model.strike(fault).await,
        }
        let looks = if rng.random_range(0..3) == 0 { 5 } else { 120 };
        model.look(rng.random_range(0..looks)).await;
    }
    model.heal();
    model.look(LOOKS_AFTER).await;
    let is_led = model.is_led();
    (model.orders, is_led)
}

/// Checks the run of one seed; returns the number of leader changes.
fn judge(seed: u64, bounds: Bounds, fenced: bool) -> usize {
    let (orders, is_led) = paused_runtime().block_on(run_nodes(seed, bounds, fenced));
    check_holders(&orders, LEASE_MS).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    assert!(is_led, "seed {seed}: no leader at the end");
    let pairs = orders.windows(2);
    pairs
        .filter(|pair| pair[0].holder != pair[1].holder)
        .count()
}

/// Checks the runs of all seeds; returns the number of leader changes in them.
fn judge_all(bounds: Bounds, fenced: bool) -> usize {
    thread::scope(|scope| {
        let part = |first: u64| {
            let seeds = (first..seeds()).step_by(THREADS as usize);
            seeds.map(|seed| judge(seed, bounds, fenced)).sum::<usize>()
        };
        let threads: Vec<_> = (0..THREADS)
            .map(|first| scope.spawn(move || part(first)))
            .collect();
        threads.into_iter().map(|part| part.join().unwrap()).sum()
    })
}

#[test]
fn one_holder_at_a_time_where_runners_check_no_fences() {
    let bounds = Bounds {
        fencing_enforced: false,
        ..bounds()
    };
    assert!(judge_all(bounds, false) > 20);
}

#[test]
fn one_holder_in_touch_at_a_time_where_runners_check_fences() {
    assert!(judge_all(bounds(), true) > 20);
}

#[test]
fn without_the_wait_for_the_former_holder_runs_are_rejected() {
    let bounds = Bounds {
        lease_ms: 0,
        ..bounds()
    };
    for fenced in [false, true] {
        let is_rejected = |seed| {
            let (orders, _) = paused_runtime().block_on(run_nodes(seed, bounds, fenced));
            matches!(
                check_holders(&orders, LEASE_MS),
                Err(HolderFault::Turn { .. })
            )
        };
        let rejected = (0..20).filter(|seed| is_rejected(*seed)).count();
        assert!(rejected > 0, "fenced: {fenced}");
    }
}

#[test]
fn the_checker_rejects_mutated_histories() {
    let (orders, _) = paused_runtime().block_on(run_nodes(1, bounds(), true));
    let turn = orders.windows(2).position(|p| p[0].holder != p[1].holder);
    let turn = turn.unwrap() + 1;
    let mutate = |change: &dyn Fn(&mut [HolderOrder])| {
        let mut orders = orders.clone();
        change(&mut orders);
        check_holders(&orders, LEASE_MS).unwrap_err()
    };
    let lower = mutate(&|orders| orders[turn].token = 0);
    assert!(matches!(lower, HolderFault::LowerToken { .. }), "{lower}");
    let shared = mutate(&|orders| orders[turn].token = orders[turn - 1].token);
    assert!(
        matches!(shared, HolderFault::SharedToken { .. }),
        "{shared}"
    );
    let soon = mutate(&|orders| orders[turn - 1].at_ms = orders[turn].at_ms - LEASE_MS + 1);
    assert!(
        matches!(soon, HolderFault::Turn { gap_ms: 2_999, .. }),
        "{soon}"
    );
}
