//! How often each request ran.

use serde::{Deserialize, Serialize};

/// How often what has one name ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// The request id or idempotency key.
    pub name: String,
    /// How often it ran.
    pub runs: u64,
}

/// Counts of runs, sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunCounts(Vec<RunCount>);

impl RunCounts {
    /// Counts one more run.
    pub fn add(&mut self, name: &str) {
        match self.find(name) {
            Ok(at) => self.0[at].runs += 1,
            Err(at) => self.0.insert(
                at,
                RunCount {
                    name: name.to_owned(),
                    runs: 1,
                },
            ),
        }
    }

    /// Returns how often something ran.
    pub fn of(&self, name: &str) -> u64 {
        self.find(name).map_or(0, |at| self.0[at].runs)
    }

    /// Returns the most runs under one name.
    pub fn most(&self) -> u64 {
        self.0.iter().map(|count| count.runs).max().unwrap_or(0)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.0
            .binary_search_by(|count| count.name.as_str().cmp(name))
    }
}
