//! The node that records streams in the store for others.

use {
    crate::{
        leader::PeerNode,
        routing::{rendezvous_weight, stable_hash},
        traffic::{NodeName, ZoneId},
    },
    std::{cmp::Reverse, time::Duration},
    tokio::time::Instant,
};

/// The name for which nodes are ranked.
const RANKING_KEY: &str = "streams";

/// The time for which a node that failed to take records is not used.
const FAILED_NODE_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Chooses the node that writes the streams of several nodes to the store, in one value.
///
/// All nodes compute the same ranking; up to `direct_peers_max` peers share one recorder, otherwise
/// those of a data centre do.
#[derive(Debug)]
pub struct RecorderChoice {
    own: NodeName,
    zone: ZoneId,
    direct_peers_max: usize,
    failures: Vec<(NodeName, Instant)>,
}

impl RecorderChoice {
    /// Creates the choice of a node in a data centre.
    pub fn new(own: NodeName, zone: ZoneId, direct_peers_max: usize) -> Self {
        Self {
            own,
            zone,
            direct_peers_max,
            failures: Vec::new(),
        }
    }

    /// Returns the peer that records for this node; `None` if this node itself does.
    pub fn select<'a>(&mut self, peers: &'a [PeerNode], now: Instant) -> Option<&'a PeerNode> {
        self.failures.retain(|(_, until)| now < *until);
        let key = stable_hash(RANKING_KEY);
        let rank = |name: &NodeName| Reverse((rendezvous_weight(key, name.as_str()), name.clone()));
        let is_large = peers.len() > self.direct_peers_max;
        let mut candidates: Vec<_> = peers
            .iter()
            .filter(|peer| !is_large || peer.zone == self.zone)
            .filter(|peer| !self.failures.iter().any(|(failed, _)| *failed == peer.name))
            .collect();
        candidates.sort_by_cached_key(|peer| rank(&peer.name));
        let first = candidates.first().copied()?;
        (rank(&first.name) < rank(&self.own)).then_some(first)
    }

    /// Records that a peer did not take records.
    pub fn record_failure(&mut self, peer: &NodeName, now: Instant) {
        self.failures
            .push((peer.clone(), now + FAILED_NODE_RETRY_DELAY));
    }
}
