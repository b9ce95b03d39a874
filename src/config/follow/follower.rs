//! Decides which heads to follow; revisions only rise.

use {
    crate::{
        config::{Catalog, Digest, EncodedSnapshot, Head, SnapshotError},
        units::Revision,
    },
    std::{sync::Arc, time::Duration},
    thiserror::Error,
    tokio::time::Instant,
};

/// How long the key-value service may show an older head before that is reported, as an answer
/// that was long under way is no sign of a restore.
pub const STORE_BEHIND_REPORT_DELAY: Duration = Duration::from_secs(5);

/// Where a head was heard from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadOrigin {
    /// From the key-value service, by watch or poll.
    Store,
    /// From another keeper.
    Peer,
}

/// How a head stands to the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadComparison {
    /// It is newer: its content should be fetched and accepted.
    Newer,
    /// It is the one in force.
    InForce,
    /// It is older, and not followed.
    Older,
    /// It has the revision in force but other content, and is not followed.
    Diverged,
}

/// A configuration in force.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Its record.
    pub head: Head,
    /// Its objects.
    pub catalog: Arc<Catalog>,
    /// Its encoded form, for other keepers.
    pub snapshot: Arc<EncodedSnapshot>,
}

/// What is wrong with the history that was seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HistoryFault {
    /// The key-value service holds an older head than the one in force.
    StoreBehind(Head),
    /// A head has the revision in force but other content.
    Diverged(Head),
}

/// Why a snapshot cannot come into force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ActivationError {
    /// The snapshot is not the one that the head names.
    #[error("the head names snapshot {wanted}, not {found}")]
    SnapshotMismatch {
        /// The digest in the head.
        wanted: Digest,
        /// The digest of the snapshot.
        found: Digest,
    },
    /// The snapshot cannot be decoded.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
}

/// Keeps the newest configuration and never goes back.
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

    /// Returns the revision in force; zero when there is none.
    pub fn revision(&self) -> Revision {
        let current = self.current.as_ref();
        current.map_or(Revision::default(), |current| current.head.revision)
    }

    /// Takes note of a head that was heard of.
    pub fn record_head(&mut self, head: &Head, origin: HeadOrigin) -> HeadComparison {
        let comparison = self.compare_head(head);
        if comparison == HeadComparison::Newer {
            self.note_newer(head);
        }
        if origin == HeadOrigin::Store {
            self.note_store(head, comparison);
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

    fn note_newer(&mut self, head: &Head) {
        let seen = self.newest_seen.as_ref().map(|seen| seen.revision);
        if seen < Some(head.revision) {
            self.newest_seen = Some(head.clone());
        }
    }

    /// Returns the newest head that was heard of or is in force; a publication goes above it.
    pub fn newest_known(&self) -> Option<&Head> {
        let in_force = self.current.as_ref().map(|current| &current.head);
        let heads = self.newest_seen.iter().chain(in_force);
        heads.max_by_key(|head| head.revision)
    }

    fn note_store(&mut self, head: &Head, comparison: HeadComparison) {
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

    /// Puts a fetched snapshot in force if its head is still newer than the one in force.
    ///
    /// Returns whether it came into force.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot is another one or cannot be decoded; the one in force stays.
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
                wanted: head.digest,
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

    /// Returns what is wrong with the history that was seen, for operators.
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
