//! Decides which published head to activate, so that revisions never decrease.

use {
    crate::{
        config::{Catalog, Digest, EncodedSnapshot, Head, SnapshotError},
        units::Revision,
    },
    std::{sync::Arc, time::Duration},
    thiserror::Error,
    tokio::time::Instant,
};

/// How long the key-value service must hold an older head before that is reported.
///
/// A single older head may come from a delayed response; only one that persists indicates that the
/// service was restored from an older copy.
pub const STORE_BEHIND_REPORT_DELAY: Duration = Duration::from_secs(5);

/// The source of a received head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadOrigin {
    /// The key-value service, by watch or poll.
    Store,
    /// Another keeper.
    Peer,
}

/// How a head compares with the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadComparison {
    /// The head is newer: its snapshot should be fetched and activated.
    Newer,
    /// The head is the one in force.
    InForce,
    /// The head is older, and is not activated.
    Older,
    /// The head has the revision in force but other content, and is not activated.
    Diverged,
}

/// The configuration in force.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// The record of the revision.
    pub head: Head,
    /// The objects of the configuration.
    pub catalog: Arc<Catalog>,
    /// The encoded form, which other keepers fetch.
    pub snapshot: Arc<EncodedSnapshot>,
}

/// An inconsistency in the received history of revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HistoryFault {
    /// The key-value service holds an older head than the one in force.
    StoreBehind(Head),
    /// A head has the revision in force but other content.
    Diverged(Head),
}

/// Why a snapshot cannot be activated.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ActivationError {
    /// The snapshot has another digest than the head.
    #[error("the head names snapshot {expected}, not {found}")]
    SnapshotMismatch {
        /// The digest in the head.
        expected: Digest,
        /// The digest of the snapshot.
        found: Digest,
    },
    /// The snapshot cannot be decoded.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
}

/// Holds the newest configuration and never returns to an older revision.
#[derive(Debug, Default)]
pub struct RevisionFollower {
    current: Option<Configuration>,
    newest_seen: Option<Head>,
    store_behind: Option<(Instant, Head)>,
    diverged: Option<Head>,
}

impl RevisionFollower {
    /// Returns the configuration in force.
    pub fn current(&self) -> Option<&Configuration> {
        self.current.as_ref()
    }

    /// Returns the revision in force, or zero when there is none.
    pub fn revision(&self) -> Revision {
        let current = self.current.as_ref();
        current.map_or(Revision::default(), |current| current.head.revision)
    }

    /// Records a received head and compares it with the one in force.
    pub fn record_head(&mut self, head: &Head, origin: HeadOrigin) -> HeadComparison {
        let comparison = self.compare_head(head);
        if comparison == HeadComparison::Newer {
            self.record_newer(head);
        }
        if origin == HeadOrigin::Store {
            self.record_store_head(head, comparison);
        }
        if comparison == HeadComparison::Diverged {
            self.diverged = Some(head.clone());
        }
        comparison
    }

    /// Compares a head with the one in force.
    pub fn compare_head(&self, head: &Head) -> HeadComparison {
        let Some(current) = &self.current else {
            return HeadComparison::Newer;
        };
        let current = &current.head;
        if head.revision > current.revision {
            HeadComparison::Newer
        } else if head.revision < current.revision {
            HeadComparison::Older
        } else if head.digest == current.digest {
            HeadComparison::InForce
        } else {
            HeadComparison::Diverged
        }
    }

    fn record_newer(&mut self, head: &Head) {
        let seen = self.newest_seen.as_ref().map(|seen| seen.revision);
        if seen < Some(head.revision) {
            self.newest_seen = Some(head.clone());
        }
    }

    /// Returns the newest head received or in force; a publication needs a higher revision.
    pub fn newest_known(&self) -> Option<&Head> {
        let in_force = self.current.as_ref().map(|current| &current.head);
        let heads = self.newest_seen.iter().chain(in_force);
        heads.max_by_key(|head| head.revision)
    }

    /// Records since when the key-value service has held an older head than the one in force.
    fn record_store_head(&mut self, head: &Head, comparison: HeadComparison) {
        if comparison != HeadComparison::Older {
            self.store_behind = None;
            return;
        }
        let since = match &self.store_behind {
            Some((since, _)) => *since,
            None => Instant::now(),
        };
        self.store_behind = Some((since, head.clone()));
    }

    /// Activates a fetched snapshot if its head is still newer than the one in force.
    ///
    /// Returns whether the snapshot was activated.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot does not match the head or cannot be decoded. The configuration in
    /// force then stays.
    pub fn activate_if_newer(
        &mut self,
        head: Head,
        snapshot: EncodedSnapshot,
    ) -> Result<bool, ActivationError> {
        if self.compare_head(&head) != HeadComparison::Newer {
            return Ok(false);
        }
        if head.digest != snapshot.digest() {
            return Err(ActivationError::SnapshotMismatch {
                expected: head.digest,
                found: snapshot.digest(),
            });
        }
        let catalog = Arc::new(snapshot.decode()?);
        self.diverged = None;
        self.current = Some(Configuration {
            head,
            catalog,
            snapshot: Arc::new(snapshot),
        });
        Ok(true)
    }

    /// Returns the inconsistencies in the received history, for operators.
    pub fn faults(&self) -> Vec<HistoryFault> {
        let mut faults = Vec::new();
        if let Some((since, head)) = &self.store_behind
            && since.elapsed() >= STORE_BEHIND_REPORT_DELAY
        {
            faults.push(HistoryFault::StoreBehind(head.clone()));
        }
        if let Some(head) = &self.diverged {
            faults.push(HistoryFault::Diverged(head.clone()));
        }
        faults
    }
}
