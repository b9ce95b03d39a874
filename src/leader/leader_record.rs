//! The value of the leader key, whose writer is the only node that may send orders.

use {
    super::PeerNode,
    crate::{store::StoreVersion, traffic::NodeName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The value of the leader key: which process wrote the key, under which lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The name of the leader.
    pub node: NodeName,
    /// The leader's gossip address, which tells a new VM of the same name apart.
    pub address: SocketAddr,
    /// A random number drawn at each start of the process.
    pub nonce: u64,
    /// The lease that the key is bound to.
    pub lease: i64,
    /// When the leader may start to send orders, by its VM's boot clock. A restarted process on
    /// the same VM waits until then as well.
    pub orders_from_boot_ms: u64,
    /// How long a successor waits after this key is deleted, by the bounds of this term; 0 when
    /// the writer stored no value.
    #[serde(default)]
    pub handover_ms: u64,
    /// The highest fencing token known before this write; the token of the write is above it.
    #[serde(default)]
    pub token_floor: u64,
}

impl LeaderRecord {
    /// Creates the record of a node's process, with no lease yet.
    pub fn new(me: &PeerNode, nonce: u64) -> Self {
        Self {
            node: me.name.clone(),
            address: me.gossip_address,
            nonce,
            lease: 0,
            orders_from_boot_ms: 0,
            handover_ms: 0,
            token_floor: 0,
        }
    }

    /// Returns whether the same process wrote both records.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.nonce == other.nonce && self.is_same_vm(other)
    }

    /// Returns whether processes on the same VM wrote both records.
    pub fn is_same_vm(&self, other: &Self) -> bool {
        self.node == other.node && self.address == other.address
    }
}

/// A leader record as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredLeaderRecord {
    /// The record; `None` when the value is malformed.
    pub record: Option<LeaderRecord>,
    /// The store version of the write.
    pub version: StoreVersion,
}

impl StoredLeaderRecord {
    /// Returns the fencing token of the term that the write began.
    pub fn token(&self) -> u64 {
        let floor = self.record.as_ref().map_or(0, |record| record.token_floor);
        token_above(floor, self.version)
    }

    /// Returns whether the writer of this record knew of another one, or both are the same.
    ///
    /// A record without a floor counts as written with the knowledge of all lower tokens.
    pub fn covers(&self, other: &Self) -> bool {
        let floor = self.record.as_ref().map_or(0, |record| record.token_floor);
        self.record == other.record
            || floor >= other.token()
            || (floor == 0 && self.token() > other.token())
    }

    /// Returns whether a process on the VM of `own` wrote the record.
    pub fn is_of_vm(&self, own: &LeaderRecord) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| record.is_same_vm(own))
    }
}

/// Returns the fencing token of a write at `version` whose writer knew of tokens up to `floor`.
///
/// Versions alone would repeat after the store went back to an older copy of itself.
pub fn token_above(floor: u64, version: StoreVersion) -> u64 {
    version.0.unsigned_abs().max(floor.saturating_add(1))
}
