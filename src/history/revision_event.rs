//! What a run records about published revisions.

use crate::{
    config::Head,
    units::{PublishId, VmName},
};

/// One event of a run, in the order in which the recorder saw them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RevisionEvent {
    /// An operator was told that the publication took effect.
    Published {
        /// When, in milliseconds since the start of the run.
        at_ms: u64,
        /// The published head.
        head: Head,
    },
    /// An operator was told that the publication did not and will not take effect.
    NotPublished {
        /// The attempt.
        publish_id: PublishId,
    },
    /// An operator was told that the outcome is not known.
    Unresolved {
        /// The attempt.
        publish_id: PublishId,
    },
    /// A VM started, without any configuration.
    Started {
        /// When, in milliseconds since the start of the run.
        at_ms: u64,
        /// The VM.
        vm: VmName,
    },
    /// A VM stopped.
    Stopped {
        /// When, in milliseconds since the start of the run.
        at_ms: u64,
        /// The VM.
        vm: VmName,
    },
    /// A configuration came into force at a VM.
    InForce {
        /// When, in milliseconds since the start of the run.
        at_ms: u64,
        /// The VM.
        vm: VmName,
        /// Its head.
        head: Head,
    },
}
