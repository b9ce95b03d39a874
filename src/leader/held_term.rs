//! What a node holds by its own writes: the term and the registration.

use crate::store::{LeaseId, StoreVersion};

/// The term that a node holds by its own write of the leader key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HeldTerm {
    /// The fencing token.
    pub token: u64,
    /// The store version of the write.
    pub version: StoreVersion,
    /// How often the store had gone back to an older copy when the write was sent.
    pub rollbacks: u64,
    /// Whether the term begins with a wait for another leader; `false` if that is not known.
    pub waits_for_leader: bool,
}

/// A node's registration in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HeldRegistration {
    /// The lease that the key is bound to.
    pub lease: LeaseId,
    /// The store version of the write.
    pub version: StoreVersion,
    /// How often the store had gone back to an older copy when the write was sent.
    pub rollbacks: u64,
}
