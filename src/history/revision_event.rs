//! What a run records about published revisions.

use crate::{
    config::Head,
    units::{PublishId, VmName},
};

/// One event of a run, in the order in which the recorder saw them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RevisionEvent {
    /// The publication was reported to an operator as effective.
    Published {
        /// When, in milliseconds since the start of the run.
        at_ms: u64,
        /// The published head.
        head: Head,
    },
    /// The publication was reported to an operator as not effective, now and later.
    NotPublished {
        /// The attempt.
        publish_id: PublishId,
    },
    /// The outcome was reported to an operator as unknown.
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
