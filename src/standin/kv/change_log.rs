//! The recent changes of the key-value service, for watches.

use crate::store::{Change, StoreError, StoreVersion};

/// Changes kept for watches that start in the past.
const CHANGES_MAX: usize = 20_000;

/// The recent changes, in the order of their versions.
#[derive(Debug, Clone, Default)]
pub(super) struct ChangeLog {
    changes: Vec<Change>,
    /// The newest version whose changes are not kept any more.
    compacted: StoreVersion,
}

impl ChangeLog {
    pub(super) fn push(&mut self, change: Change) {
        self.changes.push(change);
    }

    /// Returns the changes after `since` to keys from `start` up to and without `end`.
    pub(super) fn since(
        &self,
        start: &str,
        end: &str,
        since: StoreVersion,
    ) -> Result<Vec<Change>, StoreError> {
        if since < self.compacted {
            return Err(StoreError::Compacted);
        }
        let from = self.changes.partition_point(|c| c.version() <= since);
        let wanted = |c: &&Change| (start..end).contains(&c.key());
        let changes = self.changes[from..].iter().filter(wanted);
        Ok(changes.cloned().collect())
    }

    /// Forgets the changes up to and with `version`.
    pub(super) fn compact(&mut self, version: StoreVersion) {
        self.changes.retain(|c| c.version() > version);
        self.compacted = self.compacted.max(version);
    }

    /// Forgets the older half of the changes once there are too many.
    pub(super) fn trim(&mut self) {
        if self.changes.len() > CHANGES_MAX {
            let cut = self.changes[self.changes.len() - CHANGES_MAX / 2].version();
            self.compact(cut);
        }
    }
}
