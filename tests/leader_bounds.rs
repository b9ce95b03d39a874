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
        leader::Seat,
        node::Bounds,
        standin::kv::{KvFaults, MemoryStore},
        store::{LeaseId, Store},
    },
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// Longer than the longest lease and the longest wait for a former leader in these tests together.
const FAILOVER: Duration = Duration::from_secs(25);

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
    let seat: Seat = serde_json::from_slice(&range.entries[0].value).unwrap();
    store.revoke_lease(LeaseId(seat.lease)).await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_successor_with_shorter_bounds_waits_out_a_term_that_began_under_longer_ones() {
    for is_told in [false, true] {
        let store = MemoryStore::new();
        let link = store.link();
        let cut = TestNode::start(shared(&link), 0, unfenced(9_000));
        sleep_ms(1_000).await;
        let token = cut.term().unwrap().fencing_token;
        // The successor starts with the shorter bounds, or both nodes receive them while running.
        let other = match is_told {
            true => TestNode::start(shared(&store), 1, unfenced(9_000)),
            false => TestNode::start(shared(&store), 1, unfenced(1_000)),
        };
        sleep_ms(1_000).await;
        if is_told {
            cut.membership.set_bounds(unfenced(1_000));
            other.membership.set_bounds(unfenced(1_000));
        }
        sleep_ms(5_000).await;
        assert_eq!(cut.term().unwrap().fencing_token, token);
        // The store deletes the leader key before the lease expires; the leader does not see it.
        link.set_faults(KvFaults::DOWN);
        let cut_at = Instant::now();
        end_lease_of_leader(&store).await;
        sleep_ms(500).await;
        assert!(cut.term().is_some(), "its own clocks still cover the term");
        let mut term = cut.membership.term.clone();
        term.wait_for(Option::is_none).await.unwrap();
        let stopped_at = Instant::now();
        assert!(stopped_at > cut_at);
        sleep(FAILOVER).await;
        let next = other.term().unwrap();
        let wait = next.orders_from - stopped_at;
        // The end of a term is detected up to 0.1 s late, which the wait's margin covers.
        let least = Duration::from_millis(bounds().lease_ms);
        assert!(wait >= least, "{is_told}: {wait:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_longer_wait_for_a_former_holder_is_in_force_at_once() {
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
    sleep(FAILOVER).await;
    let wait = other.term().unwrap().orders_from - killed_at;
    assert!(wait >= Duration::from_millis(1_700 + 9_200), "{wait:?}");
}

#[tokio::test(start_paused = true)]
async fn a_term_keeps_the_bounds_that_it_began_under_and_the_next_one_has_the_new() {
    let store = MemoryStore::new();
    let link = store.link();
    let node = TestNode::start(shared(&link), 0, unfenced(1_000));
    sleep_ms(1_000).await;
    node.membership.set_bounds(unfenced(9_000));
    let lasts = async || {
        link.set_faults(KvFaults::DOWN);
        let cut_at = Instant::now();
        let mut term = node.membership.term.clone();
        term.wait_for(Option::is_none).await.unwrap();
        cut_at.elapsed()
    };
    let old = lasts().await;
    assert!(old <= Duration::from_millis(3_000), "{old:?}");
    sleep_ms(4_000).await;
    link.set_faults(KvFaults::default());
    sleep(FAILOVER).await;
    assert!(node.term().is_some());
    let new = lasts().await;
    assert!(new >= Duration::from_millis(5_000), "{new:?}");
}

#[tokio::test(start_paused = true)]
async fn the_quiet_time_after_a_freeze_is_that_of_the_term() {
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
    let quiet = async || {
        node.suspend(Duration::from_millis(900));
        let mut term = node.membership.term.clone();
        term.wait_for(Option::is_none).await.unwrap();
        let woken = Instant::now();
        term.wait_for(Option::is_some).await.unwrap();
        node.term().unwrap().orders_from - woken
    };
    let old = quiet().await;
    assert!(old >= Duration::from_millis(300) && old < Duration::from_millis(1_000));
    end_lease_of_leader(&store).await;
    sleep(FAILOVER).await;
    let new = quiet().await;
    assert!(new >= Duration::from_millis(5_000), "{new:?}");
}
