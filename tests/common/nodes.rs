//! Nodes that take part in the election, on the test's clock.

use {
    greengagetrail::{
        leader::{BootClock, Membership, PeerNode, Term},
        node::Bounds,
        standin::kv::MemoryStore,
        store::SharedStore,
    },
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::Instant,
};

/// The prefix of the nodes' keys.
pub const PREFIX: &str = "own/";

/// A node and its clock.
pub struct TestNode {
    pub membership: Membership,
    suspended: Arc<Mutex<Duration>>,
}

impl TestNode {
    /// Starts the node of a number.
    pub fn start(store: SharedStore, index: usize, bounds: Bounds) -> Self {
        Self::start_as(store, peer(index), bounds)
    }

    /// Starts a node.
    pub fn start_as(store: SharedStore, me: PeerNode, bounds: Bounds) -> Self {
        let suspended = Arc::new(Mutex::new(Duration::ZERO));
        let added = suspended.clone();
        let origin = Instant::now();
        let clock = BootClock::new(move || origin.elapsed() + *added.lock().unwrap());
        Self {
            membership: Membership::start_with_clock(store, PREFIX, me, bounds, clock),
            suspended,
        }
    }

    /// Lets the boot clock run ahead of the steady one, as a suspended VM does.
    pub fn suspend(&self, time: Duration) {
        *self.suspended.lock().unwrap() += time;
    }

    /// Returns the term that the node holds.
    pub fn term(&self) -> Option<Term> {
        *self.membership.term.borrow()
    }
}

/// Returns the node of a number.
pub fn peer(index: usize) -> PeerNode {
    PeerNode {
        name: format!("front-{index}").as_str().into(),
        gossip_address: format!("10.0.0.{}:7380", index + 1).parse().unwrap(),
        control_address: format!("10.0.0.{}:8144", index + 1).parse().unwrap(),
    }
}

/// Returns a way to a store.
pub fn shared(store: &MemoryStore) -> SharedStore {
    Arc::new(store.clone())
}

/// Returns the platform's usual bounds.
pub fn bounds() -> Bounds {
    Bounds {
        drain_ms: 2_000,
        grace_s: 8.0,
        config_apply_ms: 2_000,
        retry_budget_ratio: 0.2,
        budget_window_s: 10.0,
        retry_budget_slack: 54.0,
        lease_ms: 3_000,
        thaw_slack_ms: 300,
        fencing_enforced: true,
        ceiling_window_s: 5.0,
        contact_ms: 3_000,
        lease_min_ms: 1_000,
    }
}
