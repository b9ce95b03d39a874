//! A leader election under faults, and a runner that records which nodes send orders.
//!
//! The nodes run the production code; the store, the clocks and the runner are stand-ins.

use {
    super::{
        late_store::LateStore,
        nodes::{PREFIX, TestNode, shared},
    },
    greengagetrail::{
        history::HolderOrder,
        leader::Seat,
        node::Bounds,
        standin::kv::{KvFaults, MemoryStore},
        store::{LeaseId, Store},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// The shortest time between the orders of two leaders that the platform's rule allows, in
/// milliseconds, independent of the nodes' bounds.
pub const LEASE_MS: u64 = 3_000;
/// How long a node has to run without faults before its orders are judged, where runners reject old
/// tokens.
pub const CONTACT: Duration = Duration::from_secs(3);
/// How long after a freeze or another fault a node's orders are not judged, where runners do not.
const THAW_SLACK: Duration = Duration::from_millis(300);
const FREEZE: Duration = Duration::from_secs(4);
const RESTART: Duration = Duration::from_millis(700);
const LOOK: Duration = Duration::from_millis(50);

/// A fault of one node, or of all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Nothing,
    CutLeader,
    SilenceLeader,
    SlowLeader,
    LoseAnswers,
    DelayWrites,
    FreezeLeader,
    KillLeader,
    StopLeader,
    TakeKeys,
    SilenceWatches,
    CutAll,
    Heal,
}

/// All faults.
pub const FAULTS: [Fault; 13] = [
    Fault::Nothing,
    Fault::CutLeader,
    Fault::SilenceLeader,
    Fault::SlowLeader,
    Fault::LoseAnswers,
    Fault::DelayWrites,
    Fault::FreezeLeader,
    Fault::KillLeader,
    Fault::StopLeader,
    Fault::TakeKeys,
    Fault::SilenceWatches,
    Fault::CutAll,
    Fault::Heal,
];

/// Nodes, their store and a runner.
pub struct SeatModel {
    bounds: Bounds,
    /// Whether orders are judged by the rule for runners that reject old tokens.
    fenced: bool,
    started: Instant,
    store: MemoryStore,
    links: Vec<MemoryStore>,
    ways: Vec<Arc<LateStore>>,
    nodes: Vec<Option<TestNode>>,
    frozen_until: Vec<Option<Instant>>,
    disturbed: Vec<Instant>,
    restart_at: Vec<Option<Instant>>,
    /// The index of the node that led last.
    leader: usize,
    /// The orders that are judged.
    pub orders: Vec<HolderOrder>,
}

impl SeatModel {
    /// Starts `count` nodes; `seed` determines the delays of late writes.
    pub fn start(count: usize, seed: u64, bounds: Bounds, fenced: bool) -> Self {
        let store = MemoryStore::new();
        let links: Vec<MemoryStore> = (0..count).map(|_| store.link()).collect();
        let way = |(seed, link)| Arc::new(LateStore::new(shared(link), seed, 0));
        let ways: Vec<_> = (seed..).zip(&links).map(way).collect();
        let start = |index: usize| Some(TestNode::start(ways[index].clone(), index, bounds));
        Self {
            bounds,
            fenced,
            started: Instant::now(),
            nodes: (0..count).map(start).collect(),
            store,
            links,
            ways,
            frozen_until: vec![None; count],
            disturbed: vec![Instant::now() - CONTACT; count],
            restart_at: vec![None; count],
            leader: 0,
            orders: Vec::new(),
        }
    }

    fn spoil(&mut self, index: usize, faults: KvFaults) {
        self.links[index].set_faults(faults);
        self.disturbed[index] = Instant::now();
    }

    fn spoil_all(&mut self, faults: KvFaults) {
        (0..self.nodes.len()).for_each(|index| self.spoil(index, faults));
    }

    fn end(&mut self, index: usize) {
        self.restart_at[index] = Some(Instant::now() + RESTART);
        self.disturbed[index] = Instant::now();
        self.frozen_until[index] = None;
    }

    /// Injects a fault into the node that led last.
    pub async fn strike(&mut self, fault: Fault) {
        self.strike_at(fault, self.leader).await;
    }

    /// Injects a fault into a node.
    pub async fn strike_at(&mut self, fault: Fault, index: usize) {
        let mut faults = KvFaults::default();
        match fault {
            Fault::CutLeader | Fault::CutAll => faults.down = true,
            Fault::SilenceLeader | Fault::FreezeLeader => faults.silent = true,
            Fault::SlowLeader => faults.slow_ms = 900,
            Fault::LoseAnswers => faults.lost_answers = 3,
            Fault::SilenceWatches => faults.watch_silent = true,
            _ => {}
        }
        match fault {
            Fault::Nothing => {}
            Fault::CutLeader | Fault::SilenceLeader | Fault::SlowLeader | Fault::LoseAnswers => {
                self.spoil(index, faults)
            }
            Fault::TakeKeys => self.take_keys().await,
            Fault::DelayWrites => {
                self.ways.iter().for_each(|way| way.set_late_percent(100));
                self.spoil_all(faults);
            }
            Fault::SilenceWatches | Fault::CutAll => self.spoil_all(faults),
            Fault::Heal => self.heal(),
            Fault::FreezeLeader if self.nodes[index].is_some() => {
                self.spoil(index, faults);
                self.frozen_until[index] = Some(Instant::now() + FREEZE);
            }
            Fault::FreezeLeader => {}
            Fault::KillLeader => {
                self.nodes[index] = None;
                self.end(index);
            }
            Fault::StopLeader => {
                if let Some(node) = self.nodes[index].take() {
                    node.membership.leave().await;
                    self.end(index);
                }
            }
        }
    }

    /// Revokes the leader's lease in the store, as if the lease had expired.
    async fn take_keys(&self) {
        let range = self.store.range(&format!("{PREFIX}leader"), 1).await;
        for entry in range.unwrap().entries {
            let seat: Seat = serde_json::from_slice(&entry.value).unwrap();
            self.store.revoke_lease(LeaseId(seat.lease)).await.unwrap();
        }
    }

    /// Ends all faults except freezes.
    pub fn heal(&mut self) {
        self.ways.iter().for_each(|way| way.set_late_percent(0));
        for index in 0..self.nodes.len() {
            if self.frozen_until[index].is_none() {
                self.spoil(index, KvFaults::default());
            }
        }
    }

    /// Advances the clock in steps; in each step, every node that may send orders sends one.
    pub async fn look(&mut self, times: u32) {
        for _ in 0..times {
            sleep(LOOK).await;
            let now = Instant::now();
            for index in 0..self.nodes.len() {
                self.wake(index, now);
                self.send(index, now);
            }
        }
    }

    fn wake(&mut self, index: usize, now: Instant) {
        if self.restart_at[index].take_if(|at| now >= *at).is_some() {
            let way = self.ways[index].clone();
            self.nodes[index] = Some(TestNode::start(way, index, self.bounds));
            self.disturbed[index] = now;
        }
        let frozen = &mut self.frozen_until[index];
        if frozen.take_if(|until| now >= *until).is_some() {
            // The process kept running in this model; the clock's jump is all that it sees of the
            // freeze.
            let node = self.nodes[index].iter();
            node.for_each(|node| node.suspend(FREEZE));
            self.spoil(index, KvFaults::default());
        }
    }

    fn send(&mut self, index: usize, now: Instant) {
        let term = self.nodes[index].as_ref().and_then(TestNode::term);
        let Some(term) = term.filter(|term| now >= term.orders_from) else {
            return;
        };
        self.leader = index;
        if self.is_judged(index, now) {
            self.orders.push(HolderOrder {
                at_ms: (now - self.started).as_millis() as u64,
                holder: index,
                token: term.fencing_token,
            });
        }
    }

    /// Returns whether an order that a node sends now is judged.
    fn is_judged(&self, index: usize, now: Instant) -> bool {
        let faults = self.links[index].faults();
        let is_harmed = faults.down || faults.silent || faults.slow_ms > 0 || faults.watch_silent;
        let calm = now - self.disturbed[index];
        let is_frozen = self.frozen_until[index].is_some();
        let counts = match self.fenced {
            true => !is_harmed && calm >= CONTACT,
            false => is_harmed || calm >= THAW_SLACK,
        };
        counts && !is_frozen
    }

    /// Returns whether a judged order was sent within the last [`CONTACT`].
    pub fn is_led(&self) -> bool {
        let end_ms = self.started.elapsed().as_millis() as u64;
        let last = self.orders.last();
        last.is_some_and(|last| end_ms - last.at_ms < CONTACT.as_millis() as u64)
    }
}
