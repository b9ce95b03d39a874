//! The requests that wait for room at other nodes.

use {
    super::{ModelDemand, Variant},
    crate::traffic::NodeName,
    std::time::Duration,
    tokio::time::Instant,
};

/// How long a peer's word counts; it is told in every round while the requests wait.
const PEER_WAIT_MS: u64 = 120;

#[derive(Debug)]
struct UrgentWait {
    node: NodeName,
    variant: Variant,
    priority: u8,
    heard_at: Instant,
}

/// The most urgent requests that wait for room at other nodes, for one service.
#[derive(Debug, Default)]
pub(super) struct UrgentWaits(Vec<UrgentWait>);

impl UrgentWaits {
    /// Takes over a node's word.
    pub(super) fn hear(&mut self, node: &NodeName, demand: &ModelDemand, now: Instant) {
        let oldest = Duration::from_millis(PEER_WAIT_MS);
        self.0.retain(|wait| {
            let same = wait.node == *node
                && wait.variant.model == demand.model
                && wait.variant.adapter == demand.adapter;
            !same && now < wait.heard_at + oldest
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
            heard_at: now,
        });
    }

    /// Returns what more urgent requests than those of a priority wait for.
    pub(super) fn before(&self, priority: u8, now: Instant) -> Vec<&Variant> {
        let oldest = Duration::from_millis(PEER_WAIT_MS);
        let waits = self.0.iter();
        let ahead = waits.filter(|wait| wait.priority < priority && now < wait.heard_at + oldest);
        ahead.map(|wait| &wait.variant).collect()
    }
}
