//! Errors of the key-value service.

use thiserror::Error;

/// Why a call to the key-value service has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The call never left, so that it took no effect.
    #[error("the key-value service cannot be reached: {0}")]
    Unreachable(String),
    /// The call may have taken effect although no answer came.
    #[error("the key-value service gave no answer: {0}")]
    Unknown(String),
    /// The service refused the call, so that it took no effect.
    #[error("the key-value service refused the call: {0}")]
    Refused(String),
    /// The lease does not exist any more.
    #[error("lease {0} has lapsed")]
    LeaseLapsed(LeaseId),
    /// The watch must start again from a full read.
    #[error("the watch is behind the oldest kept version")]
    Compacted,
}

pub use super::kv::LeaseId;
