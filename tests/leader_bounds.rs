//! Changes of the platform's bounds while nodes run, and the timing of leases and terms.

mod common {
    pub mod bounds;
    pub mod nodes;
}

use {
    common::{
        bounds::bounds,
        nodes::{PREFIX, TestNode, shared},
    },
    greengagetrail::{
        leader::LeaderRecord,
        node::Bounds,
        standin::kv::{KvFaults, MemoryStore},
        store::{LeaseId, Store},
    },
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// Longer than the longest lease and the longest wait for a former leader in these tests together.
const FAILOVER_MAX: Duration = Duration::from_secs(25);

fn unfenced(lease_min_ms: u64) -> Bounds {
    Bounds {
        fencing_enforced: false,
        lease_min_ms,
        ..bounds()
    }
}

async fn sleep_ms(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

/// Revokes the leader's lease, which deletes the leader key, as a store may do early.
async fn end_lease_of_leader(store: &MemoryStore) {
    let range = store.range(&format!("{PREFIX}leader"), 1).await.unwrap();
    let record: LeaderRecord = serde_json::from_slice(&range.entries[0].value).unwrap();
    store.revoke_lease(LeaseId(record.lease)).await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_successor_with_shorter_bounds_waits_out_a_term_that_began_under_longer_ones() {
    for changes_while_running in [false, true] {
        let store = MemoryStore::new();
        let link = store.link();
        let isolated = TestNode::start(shared(&link), 0, unfenced(9_000));
        sleep_ms(1_000).await;
        let token = isolated.term().unwrap().fencing_token;
        // The successor starts with the shorter bounds, or both nodes receive them while running.
        let other = match changes_while_running {
            true => TestNode::start(shared(&store), 1, unfenced(9_000)),
            false => TestNode::start(shared(&store), 1, unfenced(1_000)),
        };
        sleep_ms(1_000).await;
        if changes_while_running {
            isolated.membership.set_bounds(unfenced(1_000));
            other.membership.set_bounds(unfenced(1_000));
        }
        sleep_ms(5_000).await;
        assert_eq!(isolated.term().unwrap().fencing_token, token);
        // The store deletes the leader key before the lease expires; the leader does not see it.
        link.set_faults(KvFaults::DOWN);
        let cut_at = Instant::now();
        end_lease_of_leader(&store).await;
        sleep_ms(500).await;
        assert!(
            isolated.term().is_some(),
            "its own clocks still cover the term"
        );
        let mut term = isolated.membership.term.clone();
        term.wait_for(Option::is_none).await.unwrap();
        let stopped_at = Instant::now();
        assert!(stopped_at > cut_at);
        sleep(FAILOVER_MAX).await;
        let next = other.term().unwrap();
        let wait = next.orders_from - stopped_at;
        // The end of a term is detected up to 0.1 s late, which the wait's margin covers.
        let wait_min = Duration::from_millis(bounds().lease_ms);
        assert!(wait >= wait_min, "{changes_while_running}: {wait:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_longer_handover_wait_applies_at_once() {
    let store = MemoryStore::new();
    let first = TestNode::start(shared(&store), 0, bounds());
    sleep_ms(1_000).await;
    let other = TestNode::start(shared(&store), 1, bounds());
    sleep_ms(1_000).await;
    assert!(first.term().is_some());
    other.membership.set_bounds(Bounds {
        lease_ms: 9_000,
        ..bounds()
    });
    drop(first);
    let killed_at = Instant::now();
    sleep(FAILOVER_MAX).await;
    let wait = other.term().unwrap().orders_from - killed_at;
    assert!(wait >= Duration::from_millis(1_700 + 9_200), "{wait:?}");
}

#[tokio::test(start_paused = true)]
async fn a_term_keeps_its_initial_bounds_and_the_next_term_uses_the_new_ones() {
    let store = MemoryStore::new();
    let link = store.link();
    let node = TestNode::start(shared(&link), 0, unfenced(1_000));
    sleep_ms(1_000).await;
    node.membership.set_bounds(unfenced(9_000));
    let term_length_without_store = async || {
        link.set_faults(KvFaults::DOWN);
        let cut_at = Instant::now();
        let mut term = node.membership.term.clone();
        term.wait_for(Option::is_none).await.unwrap();
        cut_at.elapsed()
    };
    let old = term_length_without_store().await;
    assert!(old <= Duration::from_millis(3_000), "{old:?}");
    sleep_ms(4_000).await;
    link.set_faults(KvFaults::default());
    sleep(FAILOVER_MAX).await;
    assert!(node.term().is_some());
    let new = term_length_without_store().await;
    assert!(new >= Duration::from_millis(5_000), "{new:?}");
}

#[tokio::test(start_paused = true)]
async fn the_order_pause_after_a_freeze_follows_the_bounds_of_the_term() {
    let store = MemoryStore::new();
    let node = TestNode::start(shared(&store), 0, bounds());
    sleep_ms(1_000).await;
    let thaw_slack = |thaw_slack_ms| Bounds {
        thaw_slack_ms,
        ..bounds()
    };
    node.membership.set_bounds(thaw_slack(5_000));
    // Renewals are slow, so that the test sees the term end before it resumes.
    store.set_faults(KvFaults {
        slow_ms: 5,
        ..KvFaults::default()
    });
    let order_pause = async || {
        node.suspend(Duration::from_millis(900));
        let mut term = node.membership.term.clone();
        term.wait_for(Option::is_none).await.unwrap();
        let woken_at = Instant::now();
        term.wait_for(Option::is_some).await.unwrap();
        node.term().unwrap().orders_from - woken_at
    };
    let old = order_pause().await;
    assert!(old >= Duration::from_millis(300) && old < Duration::from_millis(1_000));
    end_lease_of_leader(&store).await;
    sleep(FAILOVER_MAX).await;
    let new = order_pause().await;
    assert!(new >= Duration::from_millis(5_000), "{new:?}");
}
