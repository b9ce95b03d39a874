//! Urgent requests that wait for a free slot at other nodes.

use {
    super::{ModelDemand, Variant},
    crate::traffic::NodeName,
    std::time::Duration,
    tokio::time::Instant,
};

/// How long a peer's waiting request counts; peers repeat the report in every round.
const PEER_WAIT_TTL_MS: u64 = 120;

/// An urgent request that a peer reported.
#[derive(Debug)]
struct UrgentWait {
    node: NodeName,
    variant: Variant,
    priority: u8,
    received_at: Instant,
}

/// The most urgent requests for one service that wait for a free slot at other nodes.
#[derive(Debug, Default)]
pub(super) struct UrgentWaits(Vec<UrgentWait>);

impl UrgentWaits {
    /// Records a node's report, which replaces the previous one of the same variant.
    pub(super) fn record(&mut self, node: &NodeName, demand: &ModelDemand, now: Instant) {
        let ttl = Duration::from_millis(PEER_WAIT_TTL_MS);
        self.0.retain(|wait| {
            let is_same = wait.node == *node
                && wait.variant.model == demand.model
                && wait.variant.adapter == demand.adapter;
            !is_same && now < wait.received_at + ttl
        });
        let Some(priority) = demand.room_priority else {
            return;
        };
        self.0.push(UrgentWait {
            node: node.clone(),
            variant: Variant {
                model: demand.model.clone(),
                adapter: demand.adapter.clone(),
            },
            priority,
            received_at: now,
        });
    }

    /// Returns the variants that more urgent requests wait for at other nodes.
    pub(super) fn more_urgent_than(&self, priority: u8, now: Instant) -> Vec<&Variant> {
        let ttl = Duration::from_millis(PEER_WAIT_TTL_MS);
        let waits = self.0.iter();
        let more_urgent =
            waits.filter(|wait| wait.priority < priority && now < wait.received_at + ttl);
        more_urgent.map(|wait| &wait.variant).collect()
    }
}
