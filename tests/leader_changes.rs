//! No two nodes lead within one lease of each other, whatever faults their store links have.

mod common {
    pub mod bounds;
    pub mod nodes;
}

use {
    common::{
        bounds::bounds,
        nodes::{TestNode, shared},
    },
    greengagetrail::standin::kv::{KvFaults, MemoryStore},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// The time between two observations of which nodes may send orders.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(20);
/// The number of nodes in a run.
const NODE_COUNT: usize = 3;

/// Draws the faults of a node's store link.
fn draw_faults(rng: &mut SmallRng) -> KvFaults {
    let mut faults = KvFaults::default();
    match rng.random_range(0..6) {
        0 => faults.down = true,
        1 => faults.silent = true,
        2 => faults.slow_ms = rng.random_range(1..600),
        3 => faults.lost_answers = 2,
        4 => faults.watch_silent = true,
        _ => {}
    }
    faults
}

/// Starts, kills, stops and freezes nodes and disturbs their store links; returns when which node
/// could send orders.
async fn run_seed(seed: u64) -> Vec<(Instant, usize)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut bounds = bounds();
    bounds.fencing_enforced = false;
    let store = MemoryStore::new();
    let links: Vec<MemoryStore> = (0..NODE_COUNT).map(|_| store.link()).collect();
    let start = |index: usize| Some(TestNode::start(shared(&links[index]), index, bounds));
    let mut nodes: Vec<Option<TestNode>> = (0..NODE_COUNT).map(start).collect();
    let mut orders = Vec::new();
    for _ in 0..3_000 {
        sleep(OBSERVATION_INTERVAL).await;
        let now = Instant::now();
        for (index, node) in nodes.iter().enumerate() {
            let term = node.as_ref().and_then(TestNode::term);
            if term.is_some_and(|term| now >= term.orders_from) {
                orders.push((now, index));
            }
        }
        let index = rng.random_range(0..NODE_COUNT);
        match rng.random_range(0..400) {
            0 => nodes[index] = None,
            1..6 if nodes[index].is_none() => nodes[index] = start(index),
            6..12 => links[index].set_faults(draw_faults(&mut rng)),
            12..20 => links[index].set_faults(KvFaults::default()),
            20 => {
                if let Some(node) = nodes[index].take() {
                    node.membership.leave().await;
                }
            }
            21..24 => {
                if let Some(node) = &nodes[index] {
                    node.suspend(Duration::from_millis(rng.random_range(100..4_000)));
                }
            }
            _ => {}
        }
    }
    orders
}

#[tokio::test(start_paused = true)]
async fn leaders_change_only_after_the_lease() {
    let mut leader_changes = 0;
    for seed in 0..60 {
        let orders = run_seed(seed).await;
        for pair in orders.windows(2) {
            let ((before, former), (after, next)) = (pair[0], pair[1]);
            if former != next {
                leader_changes += 1;
                let gap = after - before;
                assert!(gap >= Duration::from_millis(3_000), "seed {seed}: {gap:?}");
            }
        }
    }
    assert!(leader_changes > 60, "{leader_changes} leader changes");
}
