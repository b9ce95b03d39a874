//! Nodes that take part in the leader election, on the test's paused clock.

#![allow(dead_code, reason = "each test uses a part of it")]

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

/// The prefix of the cluster's store keys.
pub const PREFIX: &str = "own/";

thread_local! {
    /// When the VMs of a test booted; a restarted node reads the same boot clock.
    static ORIGIN: Instant = Instant::now();
}

/// A node and its boot clock.
pub struct TestNode {
    pub membership: Arc<Membership>,
    /// The time during which the node's VM was suspended.
    suspended: Arc<Mutex<Duration>>,
}

impl TestNode {
    /// Starts the node with an index.
    pub fn start(store: SharedStore, index: usize, bounds: Bounds) -> Self {
        Self::start_as(store, peer(index), bounds)
    }

    /// Starts a node with the registration `me`.
    pub fn start_as(store: SharedStore, me: PeerNode, bounds: Bounds) -> Self {
        let suspended = Arc::new(Mutex::new(Duration::ZERO));
        let added = suspended.clone();
        let origin = ORIGIN.with(|origin| *origin);
        let clock = BootClock::new(move || origin.elapsed() + *added.lock().unwrap());
        Self {
            membership: Arc::new(Membership::start_with_clock(
                store, PREFIX, me, bounds, clock,
            )),
            suspended,
        }
    }

    /// Advances the boot clock but not the runtime's clock, as a suspension of the VM does.
    pub fn suspend(&self, time: Duration) {
        *self.suspended.lock().unwrap() += time;
    }

    /// Returns the node's term, if the node leads.
    pub fn term(&self) -> Option<Term> {
        *self.membership.term.borrow()
    }
}

/// Returns the registration of the node with an index.
pub fn peer(index: usize) -> PeerNode {
    PeerNode {
        name: format!("front-{index}").as_str().into(),
        gossip_address: format!("10.0.0.{}:7380", index + 1).parse().unwrap(),
        control_address: format!("10.0.0.{}:8144", index + 1).parse().unwrap(),
        zone: "east".into(),
    }
}

/// Returns a shared handle of a store.
pub fn shared(store: &MemoryStore) -> SharedStore {
    Arc::new(store.clone())
}
