//! The list of peers and the leader election, with faults of the key-value service and frozen VMs.

mod common {
    pub mod bounds;
    pub mod faulty_store;
    pub mod late_store;
    pub mod nodes;
}

use {
    common::{
        bounds::bounds,
        late_store::LateStore,
        nodes::{PREFIX, TestNode, peer, shared},
    },
    greengagetrail::{
        leader::Term,
        standin::kv::{KvFaults, MemoryStore},
        store::{MeteredStore, Store},
        telemetry::MetricText,
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Longer than the lease, the campaign delays and the wait for the former leader together.
const FAILOVER_MAX: Duration = Duration::from_secs(10);

fn start_nodes(store: &MemoryStore, count: usize) -> Vec<TestNode> {
    let start = |index| TestNode::start(shared(store), index, bounds());
    (0..count).map(start).collect()
}

/// Returns the terms of the nodes that lead.
fn terms(nodes: &[TestNode]) -> Vec<Term> {
    nodes.iter().filter_map(TestNode::term).collect()
}

/// Returns the index of the node that leads.
fn leader_index(nodes: &[TestNode]) -> usize {
    let holds = |node: &TestNode| node.term().is_some();
    nodes.iter().position(holds).unwrap()
}

async fn sleep_ms(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

#[tokio::test(start_paused = true)]
async fn the_first_leader_may_order_at_once_and_all_nodes_list_their_peers() {
    let store = MemoryStore::new();
    let nodes = start_nodes(&store, 7);
    sleep_ms(800).await;
    let leaders = terms(&nodes);
    assert_eq!(leaders.len(), 1);
    assert!(leaders[0].orders_from <= Instant::now());
    for (index, node) in nodes.iter().enumerate() {
        let peers = node.membership.peers.borrow().clone();
        assert_eq!(peers.len(), 6);
        assert!(!peers.contains(&peer(index)));
    }
}

#[tokio::test(start_paused = true)]
async fn idle_nodes_make_few_store_calls() {
    let store = MemoryStore::new();
    let _nodes = start_nodes(&store, 7);
    sleep_ms(2_000).await;
    let before = store.counts();
    sleep_ms(30_000).await;
    let after = store.counts();
    assert_eq!(after.txn, before.txn);
    assert_eq!(after.range, before.range);
    assert!(after.renew_lease - before.renew_lease <= 7 * 42);
}

#[tokio::test(start_paused = true)]
async fn a_successor_waits_until_the_former_leader_can_no_longer_order() {
    let store = MemoryStore::new();
    let mut nodes = start_nodes(&store, 3);
    sleep_ms(3_000).await;
    let first = leader_index(&nodes);
    let token = nodes[first].term().unwrap().fencing_token;
    let killed_at = Instant::now();
    drop(nodes.remove(first));
    sleep(FAILOVER_MAX).await;
    let terms = terms(&nodes);
    assert_eq!(terms.len(), 1);
    assert!(terms[0].fencing_token > token);
    let wait = terms[0].orders_from - killed_at;
    // The wait is the rest of the lease, renewed up to 1.3 s before the kill, and the handover.
    assert!(wait >= Duration::from_millis(1_700 + 3_200), "{wait:?}");
    assert!(wait <= Duration::from_millis(3_000 + 3_300), "{wait:?}");
}

#[tokio::test(start_paused = true)]
async fn a_planned_stop_hands_over_at_once_and_drops_the_node_from_the_peers() {
    let store = MemoryStore::new();
    let mut nodes = start_nodes(&store, 3);
    sleep_ms(3_000).await;
    let first = leader_index(&nodes);
    let stopped = nodes.remove(first);
    let mut term = stopped.membership.term.clone();
    stopped.membership.leave().await;
    assert!(term.borrow_and_update().is_none());
    let left_at = Instant::now();
    sleep_ms(1_000).await;
    let terms = terms(&nodes);
    assert_eq!(terms.len(), 1);
    let wait = terms[0].orders_from - left_at;
    assert!(wait >= Duration::from_millis(3_200) && wait <= Duration::from_millis(3_300));
    sleep_ms(6_000).await;
    assert!(
        nodes
            .iter()
            .all(|node| node.membership.peers.borrow().len() == 1)
    );
}

#[tokio::test(start_paused = true)]
async fn a_restarted_leader_replaces_its_own_leader_key_without_waiting() {
    let store = MemoryStore::new();
    let node = TestNode::start(shared(&store), 0, bounds());
    sleep_ms(1_000).await;
    let token = node.term().unwrap().fencing_token;
    drop(node);
    sleep_ms(500).await;
    let node = TestNode::start(shared(&store), 0, bounds());
    sleep_ms(500).await;
    let term = node.term().unwrap();
    assert!(term.fencing_token > token);
    assert!(term.orders_from <= Instant::now());
}

#[tokio::test(start_paused = true)]
async fn a_new_vm_of_the_same_name_is_a_different_leader() {
    let store = MemoryStore::new();
    let node = TestNode::start(shared(&store), 0, bounds());
    sleep_ms(1_000).await;
    drop(node);
    let mut moved = peer(0);
    moved.gossip_address = "10.9.9.9:7380".parse().unwrap();
    let node = TestNode::start_as(shared(&store), moved, bounds());
    sleep_ms(1_000).await;
    assert!(node.term().is_none());
    sleep(FAILOVER_MAX).await;
    assert!(node.term().is_some());
}

#[tokio::test(start_paused = true)]
async fn with_fencing_a_leader_keeps_leading_through_a_store_outage() {
    let store = MemoryStore::new();
    let nodes = start_nodes(&store, 4);
    sleep_ms(3_000).await;
    let first = leader_index(&nodes);
    store.set_faults(KvFaults::DOWN);
    sleep_ms(9_000).await;
    assert!(nodes[first].term().is_some());
    store.set_faults(KvFaults::default());
    sleep_ms(5_000).await;
    // The leases expired during the outage, and the last leader writes the leader key first.
    let leaders: Vec<_> = (0..4).filter(|at| nodes[*at].term().is_some()).collect();
    assert_eq!(leaders, [first]);
    assert!(nodes[first].term().unwrap().orders_from <= Instant::now());
    assert!(
        nodes
            .iter()
            .all(|node| node.membership.peers.borrow().len() == 3)
    );
}

/// The other nodes delay their campaigns for the last leader by one second only, so its retries
/// must reach the store within that time.
#[tokio::test(start_paused = true)]
async fn a_leader_whose_lease_expired_in_an_outage_leads_again_with_a_new_lease() {
    for _ in 0..20 {
        let store = MemoryStore::new();
        let nodes = start_nodes(&store, 4);
        sleep_ms(3_000).await;
        let first = leader_index(&nodes);
        let token = nodes[first].term().unwrap().fencing_token;
        store.set_faults(KvFaults::DOWN);
        sleep_ms(9_000).await;
        store.set_faults(KvFaults::default());
        // Slightly more than the longest delay after a failed call.
        sleep_ms(750).await;
        let term = nodes[first].term();
        assert!(term.is_some_and(|term| term.fencing_token > token));
    }
}

#[tokio::test(start_paused = true)]
async fn without_fencing_a_leader_stops_before_its_lease_can_expire() {
    let store = MemoryStore::new();
    let mut bounds = bounds();
    bounds.fencing_enforced = false;
    let link = store.link();
    let isolated = TestNode::start(shared(&link), 0, bounds);
    sleep_ms(1_000).await;
    let other = TestNode::start(shared(&store), 1, bounds);
    sleep_ms(2_000).await;
    assert!(isolated.term().is_some());
    link.set_faults(KvFaults::DOWN);
    let mut term = isolated.membership.term.clone();
    term.wait_for(Option::is_none).await.unwrap();
    let stopped_at = Instant::now();
    sleep(FAILOVER_MAX).await;
    let next = other.term().unwrap();
    assert!(next.orders_from >= stopped_at + Duration::from_millis(3_200));
}

#[tokio::test(start_paused = true)]
async fn an_isolated_leader_ends_its_term_when_it_sees_its_successor() {
    let store = MemoryStore::new();
    let link = store.link();
    let isolated = TestNode::start(shared(&link), 0, bounds());
    sleep_ms(1_000).await;
    let other = TestNode::start(shared(&store), 1, bounds());
    sleep_ms(1_000).await;
    link.set_faults(KvFaults::DOWN);
    sleep(FAILOVER_MAX).await;
    assert!(other.term().is_some());
    link.set_faults(KvFaults::default());
    sleep_ms(3_000).await;
    assert!(isolated.term().is_none());
    assert!(other.term().is_some());
}

#[tokio::test(start_paused = true)]
async fn a_leader_key_write_whose_reply_is_lost_begins_one_term() {
    let store = MemoryStore::new();
    let node = TestNode::start(shared(&store), 0, bounds());
    // The lease is granted and the node is registered; the next write is that of the leader key.
    sleep_ms(1).await;
    store.set_faults(KvFaults {
        lost_answers: 1,
        ..KvFaults::default()
    });
    sleep_ms(3_500).await;
    let token = node.term().unwrap().fencing_token;
    let key = format!("{PREFIX}leader");
    let range = store.range(&key, 1).await.unwrap();
    assert_eq!(range.entries[0].modified.0 as u64, token);
    sleep_ms(10_000).await;
    assert_eq!(node.term().unwrap().fencing_token, token);
}

#[tokio::test(start_paused = true)]
async fn late_and_lost_writes_leave_one_leader_with_the_stored_token() {
    for seed in 0..40 {
        let store = MemoryStore::new();
        let nodes: Vec<_> = (0..4)
            .map(|index| {
                let late = LateStore::new(shared(&store), seed * 10 + index as u64, 40);
                TestNode::start(Arc::new(late), index, bounds())
            })
            .collect();
        sleep_ms(30_000).await;
        let terms = terms(&nodes);
        assert_eq!(terms.len(), 1, "seed {seed}");
        let key = format!("{PREFIX}leader");
        let range = store.range(&key, 1).await.unwrap();
        let version = range.entries[0].modified.0 as u64;
        assert_eq!(version, terms[0].fencing_token, "seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_frozen_leader_sends_no_orders_until_its_lease_is_renewed() {
    let store = MemoryStore::new();
    let node = TestNode::start(shared(&store), 0, bounds());
    sleep_ms(1_000).await;
    let token = node.term().unwrap().fencing_token;
    let mut term = node.membership.term.clone();
    term.mark_unchanged();
    store.set_faults(KvFaults {
        slow_ms: 5,
        ..KvFaults::default()
    });
    node.suspend(Duration::from_millis(900));
    term.changed().await.unwrap();
    assert!(term.borrow_and_update().is_none());
    let woken_at = Instant::now();
    term.changed().await.unwrap();
    let confirmed = term.borrow().unwrap();
    assert_eq!(confirmed.fencing_token, token);
    assert!(confirmed.orders_from >= woken_at + Duration::from_millis(300));
}

#[tokio::test(start_paused = true)]
async fn a_silent_watch_is_reopened() {
    let store = MemoryStore::new();
    let link = store.link();
    let node = TestNode::start(shared(&link), 0, bounds());
    sleep_ms(1_000).await;
    link.set_faults(KvFaults::WATCH_SILENT);
    let _other = TestNode::start(shared(&store), 1, bounds());
    sleep_ms(1_000).await;
    assert!(node.membership.peers.borrow().is_empty());
    link.set_faults(KvFaults::default());
    sleep_ms(9_000).await;
    assert_eq!(node.membership.peers.borrow().len(), 1);
}

/// Each start writes a key that all nodes watch. Without batching, the number of watch responses
/// would grow with the square of the number of nodes.
#[tokio::test(start_paused = true)]
async fn nodes_that_start_together_do_not_wake_one_another_with_each_registration() {
    const NODES: usize = 62;
    let store = MemoryStore::new();
    let metered = Arc::new(MeteredStore::new(shared(&store)));
    let mut nodes = Vec::new();
    for index in 0..NODES {
        nodes.push(TestNode::start(metered.clone(), index, bounds()));
        sleep_ms(5).await;
    }
    sleep_ms(2_000).await;
    for node in &nodes {
        assert_eq!(node.membership.peers.borrow().len(), NODES - 1);
    }
    let mut text = MetricText::default();
    metered.render(&mut text);
    let text = text.finish();
    let name = r#"ggt_store_calls_total{kind="watch",outcome="done"} "#;
    let answers = text.lines().find_map(|line| line.strip_prefix(name));
    let answers: f64 = answers.unwrap().parse().unwrap();
    assert!(answers <= 12.0 * NODES as f64, "{answers} watch responses");
}
