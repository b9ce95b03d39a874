//! Errors of the key-value service.

use thiserror::Error;

/// Why a call to the key-value service failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The call was not sent, so it had no effect.
    #[error("the key-value service cannot be reached: {0}")]
    Unreachable(String),
    /// No valid response arrived; the call may have taken effect.
    #[error("the result of a call to the key-value service is unknown: {0}")]
    Unknown(String),
    /// The service refused the call, so it had no effect.
    #[error("the key-value service refused the call: {0}")]
    Refused(String),
    /// The lease has expired or was revoked.
    #[error("lease {0} has expired")]
    LeaseLapsed(LeaseId),
    /// Versions that the watch needs are compacted; it must start again from a full read.
    #[error("the watch starts before the oldest version that the key-value service keeps")]
    Compacted,
}

pub use super::kv::LeaseId;
