//! The list of runners as nodes send it to each other.

use {
    super::RunnerEntry,
    crate::store::StoreVersion,
    serde::{Deserialize, Serialize},
};

/// A list of runners with the store version at which it was read.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RunnerSnapshot {
    /// A store version that the list includes, and perhaps newer changes; 0 before the first read.
    pub store_version: i64,
    /// The listed runners.
    pub runners: Vec<RunnerEntry>,
}

impl RunnerSnapshot {
    /// Returns whether the list is newer than the store version `known`.
    pub fn is_newer_than(&self, known: StoreVersion) -> bool {
        self.store_version > known.0
    }
}
