//! Who the nodes are, and which of them gives orders.

use {
    crate::traffic::{NodeName, ZoneId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    tokio::time::Instant,
};

/// A node that registered itself in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerNode {
    /// Its name.
    pub name: NodeName,
    /// Where it takes gossip, by UDP.
    pub gossip_address: SocketAddr,
    /// Where it answers peers and operators, by HTTP.
    pub control_address: SocketAddr,
    /// Its data centre; empty where it does not say.
    #[serde(default = "no_zone")]
    pub zone: ZoneId,
}

fn no_zone() -> ZoneId {
    "".into()
}

/// A node's time as the one that gives orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Its fencing token: the store's version of the write that began the term.
    pub fencing_token: u64,
    /// Before this instant a former leader may still give orders.
    pub orders_from: Instant,
}
