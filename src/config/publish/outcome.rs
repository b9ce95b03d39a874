//! The input of a publication, and its possible outcomes.

use {
    crate::{
        config::{EncodedSnapshot, Head, SnapshotError},
        store::StoreError,
        units::{PublishId, Revision},
    },
    thiserror::Error,
};

/// The greatest length of an author, in bytes.
pub const AUTHOR_MAX_BYTES: usize = 128;
/// The greatest length of a message, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 1024;

/// A configuration to publish.
///
/// The configuration must have passed the checks, which the publisher does not repeat.
#[derive(Debug, Clone)]
pub struct Publication {
    /// The encoded configuration.
    pub snapshot: EncodedSnapshot,
    /// The identifier of this publishing attempt.
    pub publish_id: PublishId,
    /// The operator who publishes.
    pub author: String,
    /// The operator's message on the reason of the change.
    pub message: String,
    /// The time of publication, in milliseconds since 1970.
    pub published_at_ms: u64,
    /// The revision that the change is based on; zero when there was none.
    pub expected: Revision,
}

impl Publication {
    /// Returns the outcome when a head is newer than the expected revision.
    ///
    /// That head may be this publication's own, received by a peer although the reply to the swap
    /// was lost.
    pub(super) fn outcome_for_newer_head(&self, newer: Head) -> PublishOutcome {
        if newer.publish_id == self.publish_id {
            PublishOutcome::Published(newer)
        } else {
            PublishOutcome::Conflict(newer)
        }
    }

    /// Returns the head that this publication writes as a revision.
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

/// The outcome of a publication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The publication is the head, or was the head before a later revision.
    Published(Head),
    /// The publication did not and will not take effect, as another revision is newer than the
    /// expected one.
    Conflict(Head),
    /// The outcome is unknown: the key-value service gave no reply that determines it.
    Unknown(PublishId),
}

/// Why nothing was published; the attempt will not take effect later.
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
    /// The author or message is empty or too long.
    #[error("{field} must have 1 to {max_bytes} bytes")]
    InvalidText {
        /// The name of the field.
        field: &'static str,
        /// The greatest length of the field, in bytes.
        max_bytes: usize,
    },
    /// The snapshot cannot be decoded.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// The head in the key-value service cannot be read.
    #[error("the published head cannot be read: {0}")]
    MalformedHead(String),
    /// The key-value service failed before anything took effect.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Concurrent garbage collections or lost writes made all attempts fail.
    #[error("the key-value service is too busy; try again")]
    AttemptsExhausted,
}
