//! A registered node, and the term of a leader.

use {
    crate::traffic::{NodeName, ZoneId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    tokio::time::Instant,
};

/// A node as registered in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerNode {
    /// The node's name.
    pub name: NodeName,
    /// The UDP address for gossip.
    pub gossip_address: SocketAddr,
    /// The HTTP address for requests of peers and operators.
    pub control_address: SocketAddr,
    /// The node's data centre; empty when the registration names none.
    #[serde(default = "no_zone")]
    pub zone: ZoneId,
}

fn no_zone() -> ZoneId {
    "".into()
}

/// The period in which one node leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// The fencing token: the store version of the write that began the term, or higher after the
    /// store lost its newest writes.
    pub fencing_token: u64,
    /// The instant from which the leader may send orders; a former leader may send until then.
    pub orders_from: Instant,
    /// Whether `orders_from` waits for the term of another leader to end.
    pub waits_for_leader: bool,
}
