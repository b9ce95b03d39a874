//! The list of runners as nodes tell it to one another.

use {
    super::RunnerEntry,
    crate::store::StoreVersion,
    serde::{Deserialize, Serialize},
};

/// A list of runners and how new it is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ListedRunners {
    /// The version of the store that the list shows at least; 0 if none was read.
    pub store_version: i64,
    /// The runners.
    pub runners: Vec<RunnerEntry>,
}

impl ListedRunners {
    /// Returns whether the list is newer than what is known of a version of the store.
    pub fn is_newer_than(&self, known: StoreVersion) -> bool {
        self.store_version > known.0
    }
}
