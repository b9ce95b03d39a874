//! The load from other nodes on a runner.

use {
    super::{NodeLoad, TotalLoad, Variant, prompt_pace::faded},
    crate::traffic::NodeName,
    std::time::Duration,
    tokio::time::Instant,
};

/// How long a peer's load counts without another report or renewal.
const PEER_LOAD_MS: u64 = 1_500;

#[derive(Debug)]
struct PeerLoad {
    node: NodeName,
    load: NodeLoad,
    heard_at: Instant,
    told_at: Instant,
}

/// The load from other nodes on a runner, sorted by node.
#[derive(Debug, Default)]
pub(super) struct PeerLoads(Vec<PeerLoad>);

impl PeerLoads {
    /// Records a node's load; a load without requests removes the node.
    pub(super) fn hear(&mut self, node: &NodeName, load: NodeLoad, now: Instant) {
        let position = self.0.binary_search_by(|peer| peer.node.cmp(node));
        match (position, load.requests) {
            (Ok(position), 0) => drop(self.0.remove(position)),
            (Ok(position), _) => {
                self.0[position].load = load;
                self.0[position].heard_at = now;
                self.0[position].told_at = now;
            }
            (Err(_), 0) => {}
            (Err(position), _) => {
                let peer = PeerLoad {
                    node: node.clone(),
                    load,
                    heard_at: now,
                    told_at: now,
                };
                self.0.insert(position, peer);
            }
        }
    }

    /// Extends the validity of a node's load if it was received within `told_within`.
    pub(super) fn renew(&mut self, node: &NodeName, told_within: Duration, now: Instant) {
        if let Ok(position) = self.0.binary_search_by(|peer| peer.node.cmp(node))
            && now < self.0[position].told_at + told_within
        {
            self.0[position].heard_at = now;
        }
    }

    /// Drops loads that are too old; returns whether there were any.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let kept = Duration::from_millis(PEER_LOAD_MS);
        let before = self.0.len();
        self.0.retain(|peer| now < peer.heard_at + kept);
        self.0.len() != before
    }

    /// Adds the load from all nodes to a total.
    pub(super) fn add_to(&self, total: &mut TotalLoad) {
        self.0.iter().for_each(|peer| total.add(&peer.load));
    }

    /// Returns the prompt tokens that the runner has not processed yet or was sent recently.
    pub(super) fn prompt_tokens(&self, now: Instant) -> u64 {
        let tokens = self.0.iter().map(|peer| {
            let age = now.saturating_duration_since(peer.told_at);
            let recent = faded(peer.load.recent_tokens as f64, age);
            (recent as u64).max(peer.load.prefill_tokens)
        });
        tokens.sum()
    }

    /// Returns the number of nodes with requests at the runner.
    pub(super) fn count(&self) -> usize {
        self.0.len()
    }

    pub(super) fn in_use(&self) -> impl Iterator<Item = &(Variant, u32)> {
        self.0.iter().flat_map(|peer| &peer.load.in_use)
    }
}
