//! The input of a publication, and its possible outcomes.

use {
    crate::{
        config::{EncodedSnapshot, Head, SnapshotError},
        store::StoreError,
        units::{PublishId, Revision},
    },
    thiserror::Error,
};

/// The longest author, in bytes.
pub const AUTHOR_MAX_BYTES: usize = 128;
/// The longest message, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 1024;

/// A configuration to publish; it must have been checked.
#[derive(Debug, Clone)]
pub struct Publication {
    /// The configuration.
    pub snapshot: EncodedSnapshot,
    /// Identifies this attempt.
    pub publish_id: PublishId,
    /// Who publishes.
    pub author: String,
    /// Why.
    pub message: String,
    /// When, in milliseconds since 1970.
    pub published_at_ms: u64,
    /// The revision that the change was made from; zero when there was none.
    pub expected: Revision,
}

impl Publication {
    /// Returns the outcome when a head is newer than the expected one.
    ///
    /// It may be this publication's own, known to a peer although its answer was lost.
    pub(super) fn outcome_beside(&self, newer: Head) -> PublishOutcome {
        if newer.publish_id == self.publish_id {
            PublishOutcome::Published(newer)
        } else {
            PublishOutcome::Conflict(newer)
        }
    }

    /// Returns the head that this publication would write.
    pub(super) fn head(&self, revision: Revision) -> Head {
        Head {
            revision,
            digest: self.snapshot.digest(),
            publish_id: self.publish_id,
            author: self.author.clone(),
            message: self.message.clone(),
            published_at_ms: self.published_at_ms,
        }
    }
}

/// How a publication ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It is the head, or was until a later one followed.
    Published(Head),
    /// It did not and will not take effect, as another revision is newer than the expected one.
    Conflict(Head),
    /// The outcome is ambiguous: no answer of the key-value service settles it.
    Unknown(PublishId),
}

/// Why nothing was published; the attempt will not take effect later either.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PublishError {
    /// The expected revision is newer than any published one.
    #[error("revision {expected} was expected, but the newest is {newest}")]
    NoSuchRevision {
        /// The expected revision.
        expected: Revision,
        /// The newest revision.
        newest: Revision,
    },
    /// A text is empty or too long.
    #[error("{field} must have 1 to {max_bytes} bytes")]
    InvalidText {
        /// The field.
        field: &'static str,
        /// The most bytes that it may have.
        max_bytes: usize,
    },
    /// The snapshot cannot be read.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// The head in the key-value service cannot be read.
    #[error("the published head cannot be read: {0}")]
    MalformedHead(String),
    /// The key-value service failed before anything took effect.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Garbage collections or lost writes came in between too often.
    #[error("the key-value service is too busy; try again")]
    AttemptsExhausted,
}
