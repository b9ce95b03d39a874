//! The key whose holder gives all orders.

use {
    super::PeerNode,
    crate::{store::StoreVersion, traffic::NodeName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Who wrote the leader key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// The node.
    pub node: NodeName,
    /// Its address, so that a new VM of the same name is another holder.
    pub address: SocketAddr,
    /// Drawn at each start of the process.
    pub nonce: u64,
    /// The lease that the key is bound to.
    pub lease: i64,
    /// From when on it may order, by the VM's own boot clock; a new start of the process has to
    /// wait as long.
    pub orders_from_boot_ms: u64,
    /// How long a successor waits once this key is gone, by the bounds of this holder's term; 0
    /// where the writer does not say.
    #[serde(default)]
    pub handover_ms: u64,
}

impl Seat {
    /// Makes the value that a start of a node writes.
    pub fn new(me: &PeerNode, nonce: u64) -> Self {
        Self {
            node: me.name.clone(),
            address: me.gossip_address,
            nonce,
            lease: 0,
            orders_from_boot_ms: 0,
            handover_ms: 0,
        }
    }

    /// Returns whether both were written by one start of a process.
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.nonce == other.nonce && self.is_same_vm(other)
    }

    /// Returns whether both were written by one VM.
    pub fn is_same_vm(&self, other: &Self) -> bool {
        self.node == other.node && self.address == other.address
    }
}

/// A seat as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredSeat {
    /// Who wrote it; `None` when the value cannot be read.
    pub seat: Option<Seat>,
    /// The version of the write.
    pub version: StoreVersion,
}
