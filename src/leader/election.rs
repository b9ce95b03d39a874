//! What a node decides about the leader key, and how it writes keys.

use {
    super::StoredSeat,
    crate::store::{LeaseId, Op},
    bytes::Bytes,
    rand::RngExt,
    serde::Serialize,
    std::time::Duration,
};

/// What to do about the leader key.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Election {
    /// Another node leads, or nothing is known.
    Wait,
    /// This process holds the seat by the write of this version.
    Adopt(u64),
    /// An earlier start of this node holds the seat.
    Inherit(StoredSeat),
    /// Nobody leads.
    Contend,
}

/// Returns the write of a value as JSON.
pub(super) fn put(key: String, value: &impl Serialize, lease: Option<LeaseId>) -> Op {
    let value = serde_json::to_vec(value).unwrap_or_default();
    Op::Put {
        key,
        value: Bytes::from(value),
        lease,
    }
}

/// Returns a random time below a limit.
pub(super) fn random_below(limit_ms: u64) -> Duration {
    Duration::from_millis(rand::rng().random_range(0..limit_ms.max(1)))
}
