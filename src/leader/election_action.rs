//! The actions of an election, and helpers for writing keys.

use {
    super::{StoredLeaderRecord, held_term::HeldTerm},
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
    /// Begin the term of this process's own write.
    BeginTerm(HeldTerm),
    /// Replace a leader key that this node wrote and whose term must not go on.
    ReplaceOwnRecord(StoredLeaderRecord),
    /// Write the last-leader key that the store has lost, so that the present leader learns which
    /// tokens are used.
    RestoreLastLeader,
    /// Write the leader key, which is absent.
    Campaign,
}

impl ElectionAction {
    /// Returns whether the action relies on what the view says of the leader keys.
    pub(super) fn depends_on_view(&self) -> bool {
        matches!(self, Self::ReplaceOwnRecord(_) | Self::Campaign)
    }
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
