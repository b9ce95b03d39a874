//! The runner entries as last read from the platform's store.

use {super::RunnerEntry, tokio::time::Instant};

#[derive(Debug)]
struct ListEntry {
    key: String,
    entry: RunnerEntry,
    is_missing: bool,
}

/// The runner entries by their keys in the store.
///
/// Entries that are removed during a store outage are kept until the end of a grace period.
#[derive(Debug, Default)]
pub struct RunnerList {
    listed: Vec<ListEntry>,
    grace_end: Option<Instant>,
}

impl RunnerList {
    /// Replaces all entries by those of a whole read.
    ///
    /// Entries that the read lacks are removed, at once or after `grace_end`.
    pub fn replace(&mut self, mut read: Vec<(String, RunnerEntry)>, grace_end: Option<Instant>) {
        read.sort_by(|a, b| a.0.cmp(&b.0));
        let present = |key: &str| read.binary_search_by(|(known, _)| known.as_str().cmp(key));
        let mut kept = std::mem::take(&mut self.listed);
        kept.retain(|listed| grace_end.is_some() && present(&listed.key).is_err());
        kept.iter_mut().for_each(|listed| listed.is_missing = true);
        self.grace_end = grace_end.filter(|_| !kept.is_empty());
        let found = read.into_iter().map(|(key, entry)| ListEntry {
            key,
            entry,
            is_missing: false,
        });
        kept.extend(found);
        kept.sort_by(|a, b| a.key.cmp(&b.key));
        self.listed = kept;
    }

    /// Removes the entry of a key that was deleted in the store, at once or after `grace_end`.
    pub fn remove(&mut self, key: &str, grace_end: Option<Instant>) {
        let Ok(position) = self.position(key) else {
            return;
        };
        match grace_end {
            Some(until) => {
                self.listed[position].is_missing = true;
                self.grace_end = Some(until);
            }
            None => drop(self.listed.remove(position)),
        }
    }

    /// Adds or replaces the entry of a key; `None`, an undecodable value, removes the entry.
    pub fn put(&mut self, key: &str, entry: Option<RunnerEntry>) {
        match (self.position(key), entry) {
            (Ok(position), Some(entry)) => {
                self.listed[position].entry = entry;
                self.listed[position].is_missing = false;
            }
            (Ok(position), None) => drop(self.listed.remove(position)),
            (Err(position), Some(entry)) => {
                let listed = ListEntry {
                    key: key.to_owned(),
                    entry,
                    is_missing: false,
                };
                self.listed.insert(position, listed);
            }
            (Err(_), None) => {}
        }
    }

    fn position(&self, key: &str) -> Result<usize, usize> {
        self.listed
            .binary_search_by(|listed| listed.key.as_str().cmp(key))
    }

    /// Returns the end of the grace period, if entries wait for it.
    pub fn grace_end(&self) -> Option<Instant> {
        self.grace_end
    }

    /// Extends the grace period, if entries wait for its end.
    pub fn extend_grace(&mut self, until: Instant) {
        self.grace_end = self.grace_end.map(|_| until);
    }

    /// Removes the entries that wait for the end of the grace period.
    pub fn drop_missing(&mut self) {
        self.listed.retain(|listed| !listed.is_missing);
        self.grace_end = None;
    }

    /// Returns all entries, sorted by runner.
    pub fn entries(&self) -> Vec<RunnerEntry> {
        let mut entries: Vec<_> = self.listed.iter().map(|l| l.entry.clone()).collect();
        entries.sort_by(|a, b| a.key.cmp(&b.key));
        entries.dedup_by(|a, b| a.key == b.key);
        entries
    }
}
