//! Events that a run records about published revisions.

use crate::{
    config::Head,
    units::{PublishId, VmName},
};

/// One event of a run; a history holds the events in the order in which they were recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RevisionEvent {
    /// A publication was reported to an operator as successful.
    Published {
        /// When the event happened, in milliseconds since the start of the run.
        at_ms: u64,
        /// The head of the published revision.
        head: Head,
    },
    /// A publication was reported to an operator as failed; it must never take effect.
    NotPublished {
        /// The id of the publication.
        publish_id: PublishId,
    },
    /// The outcome of a publication was reported to an operator as unknown.
    Unresolved {
        /// The id of the publication.
        publish_id: PublishId,
    },
    /// A VM started, without any configuration.
    Started {
        /// When the event happened, in milliseconds since the start of the run.
        at_ms: u64,
        /// The VM of the event.
        vm: VmName,
    },
    /// A VM stopped.
    Stopped {
        /// When the event happened, in milliseconds since the start of the run.
        at_ms: u64,
        /// The VM of the event.
        vm: VmName,
    },
    /// A configuration came into force at a VM.
    InForce {
        /// When the event happened, in milliseconds since the start of the run.
        at_ms: u64,
        /// The VM of the event.
        vm: VmName,
        /// The head of the revision in force.
        head: Head,
    },
}
