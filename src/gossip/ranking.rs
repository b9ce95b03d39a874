//! The ranking of a data centre's nodes, by which all nodes choose the same aggregators.

use {
    crate::{
        leader::PeerNode,
        traffic::{NodeName, ZoneId},
    },
    flate2::Crc,
    std::net::SocketAddr,
};

/// A node with the address at which it receives datagrams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipPeer {
    /// The node's name.
    pub name: NodeName,
    /// The node's gossip address.
    pub address: SocketAddr,
}

impl From<&PeerNode> for GossipPeer {
    fn from(peer: &PeerNode) -> Self {
        Self {
            name: peer.name.clone(),
            address: peer.gossip_address,
        }
    }
}

/// Returns the listed nodes of a data centre in an order that is the same at all nodes.
pub fn rank_nodes<'a>(
    nodes: impl IntoIterator<Item = &'a PeerNode>,
    zone: &ZoneId,
) -> Vec<&'a PeerNode> {
    let mut ranked: Vec<_> = nodes
        .into_iter()
        .filter(|node| node.zone == *zone)
        .map(|node| (rank(&node.name), node))
        .collect();
    ranked.sort_unstable_by(|a, b| (a.0, &a.1.name).cmp(&(b.0, &b.1.name)));
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// Returns the data centres of the listed nodes, sorted.
pub fn sorted_zones(nodes: &[PeerNode]) -> Vec<&ZoneId> {
    let mut zones: Vec<_> = nodes.iter().map(|node| &node.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones
}

fn rank(name: &NodeName) -> u32 {
    let mut crc = Crc::new();
    crc.update(name.as_str().as_bytes());
    crc.sum().wrapping_mul(0x9e37_79b1)
}
