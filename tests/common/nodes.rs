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

thread_local! {
    /// When the VMs of a test started; their clocks outlast the nodes.
    static ORIGIN: Instant = Instant::now();
}

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
        let origin = ORIGIN.with(|origin| *origin);
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
        zone: "east".into(),
    }
}

/// Returns a way to a store.
pub fn shared(store: &MemoryStore) -> SharedStore {
    Arc::new(store.clone())
}
