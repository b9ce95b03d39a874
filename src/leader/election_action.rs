//! The actions of an election, and helpers for writing keys.

use {
    super::StoredLeaderRecord,
    crate::store::{LeaseId, Op},
    bytes::Bytes,
    rand::RngExt,
    serde::Serialize,
    std::time::Duration,
};

/// A node's next action on the leader key.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ElectionAction {
    /// Do nothing: another node leads, or the leader key has not been read.
    Wait,
    /// Begin the term of this process's own write, whose store version is the fencing token.
    BeginTerm(u64),
    /// Replace the leader key that an earlier process of this node wrote.
    ReplaceOwnRecord(StoredLeaderRecord),
    /// Write the leader key, which is absent.
    Campaign,
}

/// Returns the operation that writes a value as JSON.
pub(super) fn put(key: String, value: &impl Serialize, lease: Option<LeaseId>) -> Op {
    let value = serde_json::to_vec(value).unwrap_or_default();
    Op::Put {
        key,
        value: Bytes::from(value),
        lease,
    }
}

/// Returns a random duration below a limit.
pub(super) fn random_below(limit_ms: u64) -> Duration {
    Duration::from_millis(rand::rng().random_range(0..limit_ms.max(1)))
}
