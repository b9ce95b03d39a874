//! The load from other nodes on a runner.

use {
    super::{NodeLoad, TotalLoad, Variant, prompt_pace::decayed},
    crate::traffic::NodeName,
    std::time::Duration,
    tokio::time::Instant,
};

/// How long a peer's load counts without another report or renewal.
const PEER_LOAD_TTL_MS: u64 = 1_500;

/// The latest load that one node reported.
#[derive(Debug)]
struct PeerLoad {
    node: NodeName,
    load: NodeLoad,
    renewed_at: Instant,
    received_at: Instant,
}

/// The load from other nodes on a runner, sorted by node.
#[derive(Debug, Default)]
pub(super) struct PeerLoads(Vec<PeerLoad>);

impl PeerLoads {
    /// Records a node's load; a load without requests removes the node.
    pub(super) fn record(&mut self, node: &NodeName, load: NodeLoad, now: Instant) {
        let position = self.0.binary_search_by(|peer| peer.node.cmp(node));
        match (position, load.requests) {
            (Ok(position), 0) => drop(self.0.remove(position)),
            (Ok(position), _) => {
                self.0[position].load = load;
                self.0[position].renewed_at = now;
                self.0[position].received_at = now;
            }
            (Err(_), 0) => {}
            (Err(position), _) => {
                let peer = PeerLoad {
                    node: node.clone(),
                    load,
                    renewed_at: now,
                    received_at: now,
                };
                self.0.insert(position, peer);
            }
        }
    }

    /// Extends the validity of a node's load if it was received within `received_within`.
    pub(super) fn renew(&mut self, node: &NodeName, received_within: Duration, now: Instant) {
        if let Ok(position) = self.0.binary_search_by(|peer| peer.node.cmp(node))
            && now < self.0[position].received_at + received_within
        {
            self.0[position].renewed_at = now;
        }
    }

    /// Drops loads that are too old; returns whether there were any.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let ttl = Duration::from_millis(PEER_LOAD_TTL_MS);
        let count_before = self.0.len();
        self.0.retain(|peer| now < peer.renewed_at + ttl);
        self.0.len() != count_before
    }

    /// Adds the load from all nodes to a total.
    pub(super) fn add_to(&self, total: &mut TotalLoad) {
        self.0.iter().for_each(|peer| total.add(&peer.load));
    }

    /// Returns the prompt tokens that the runner has not processed yet or was sent recently.
    pub(super) fn prompt_tokens(&self, now: Instant) -> u64 {
        let tokens = self.0.iter().map(|peer| {
            let age = now.saturating_duration_since(peer.received_at);
            let recent = decayed(peer.load.recent_tokens as f64, age);
            (recent as u64).max(peer.load.prefill_tokens)
        });
        tokens.sum()
    }

    /// Returns the number of nodes with requests at the runner.
    pub(super) fn node_count(&self) -> usize {
        self.0.len()
    }

    pub(super) fn in_use(&self) -> impl Iterator<Item = &(Variant, u32)> {
        self.0.iter().flat_map(|peer| &peer.load.in_use)
    }
}
