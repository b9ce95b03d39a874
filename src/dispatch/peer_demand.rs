//! The demand that arrives at other nodes.

use {super::ModelDemand, crate::traffic::NodeName, std::time::Duration, tokio::time::Instant};

/// How long a peer's demand counts without another report.
const PEER_DEMAND_MS: u64 = 1_500;

/// The latest report of a node's demand for one variant.
#[derive(Debug)]
struct Heard {
    node: NodeName,
    demand: ModelDemand,
    at: Instant,
}

/// The demand at other nodes, sorted by node.
#[derive(Debug, Default)]
pub(super) struct PeerDemands {
    heard: Vec<Heard>,
}

impl PeerDemands {
    /// Records a node's demand; returns whether more requests wait there than before.
    pub(super) fn hear(&mut self, node: &NodeName, demand: ModelDemand, now: Instant) -> bool {
        let key = (node, demand.key());
        let found = self
            .heard
            .binary_search_by(|heard| (&heard.node, heard.demand.key()).cmp(&key));
        match found {
            Ok(position) => {
                let heard = &mut self.heard[position];
                let more = demand.waiting > heard.demand.waiting;
                heard.demand = demand;
                heard.at = now;
                more
            }
            Err(position) => {
                let more = demand.waiting > 0;
                let heard = Heard {
                    node: node.clone(),
                    demand,
                    at: now,
                };
                self.heard.insert(position, heard);
                more
            }
        }
    }

    /// Drops demand whose last report is too old.
    pub(super) fn expire(&mut self, now: Instant) {
        let kept_ms = Duration::from_millis(PEER_DEMAND_MS);
        self.heard.retain(|heard| now < heard.at + kept_ms);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &ModelDemand> {
        self.heard.iter().map(|heard| &heard.demand)
    }
}
