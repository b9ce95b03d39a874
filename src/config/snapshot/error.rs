//! Errors of the snapshot codec.

use {
    crate::config::{Digest, ObjectId},
    thiserror::Error,
};

/// Why a snapshot cannot be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// One object is too large for the key-value service.
    #[error("{0} is too large to publish")]
    ObjectTooLarge(ObjectId),
    /// The configuration as a whole is too large.
    #[error("the configuration is too large to publish: {0}")]
    TooLarge(&'static str),
    /// A blob does not match the requested digest.
    #[error("the content of blob {0} does not match its digest")]
    DigestMismatch(Digest),
    /// A blob is missing.
    #[error("blob {0} is missing")]
    MissingBlob(Digest),
    /// A blob cannot be decoded.
    #[error("a blob cannot be decoded: {0}")]
    Malformed(String),
}
