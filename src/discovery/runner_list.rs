//! The entries of the platform's list, as last read.

use {super::RunnerEntry, tokio::time::Instant};

#[derive(Debug)]
struct Listed {
    key: String,
    entry: RunnerEntry,
    missing: bool,
}

/// The entries of the platform's list by their keys in the store.
///
/// Entries that vanished during an outage of the store stay until a grace period is over.
#[derive(Debug, Default)]
pub struct RunnerList {
    listed: Vec<Listed>,
    missing_until: Option<Instant>,
}

impl RunnerList {
    /// Takes over a whole read; entries that it lacks are gone, at once or after `grace_until`.
    pub fn replace(&mut self, mut read: Vec<(String, RunnerEntry)>, grace_until: Option<Instant>) {
        read.sort_by(|a, b| a.0.cmp(&b.0));
        let present = |key: &str| read.binary_search_by(|(known, _)| known.as_str().cmp(key));
        let mut kept = std::mem::take(&mut self.listed);
        kept.retain(|listed| grace_until.is_some() && present(&listed.key).is_err());
        kept.iter_mut().for_each(|listed| listed.missing = true);
        self.missing_until = grace_until.filter(|_| !kept.is_empty());
        let found = read.into_iter().map(|(key, entry)| Listed {
            key,
            entry,
            missing: false,
        });
        kept.extend(found);
        kept.sort_by(|a, b| a.key.cmp(&b.key));
        self.listed = kept;
    }

    /// Takes over that a key was removed; its entry is gone, at once or after `grace_until`.
    pub fn remove(&mut self, key: &str, grace_until: Option<Instant>) {
        let Ok(position) = self.position(key) else {
            return;
        };
        match grace_until {
            Some(until) => {
                self.listed[position].missing = true;
                self.missing_until = Some(until);
            }
            None => drop(self.listed.remove(position)),
        }
    }

    /// Takes over what was written under a key; `None` names no runner.
    pub fn put(&mut self, key: &str, entry: Option<RunnerEntry>) {
        match (self.position(key), entry) {
            (Ok(position), Some(entry)) => {
                self.listed[position].entry = entry;
                self.listed[position].missing = false;
            }
            (Ok(position), None) => drop(self.listed.remove(position)),
            (Err(position), Some(entry)) => {
                let listed = Listed {
                    key: key.to_owned(),
                    entry,
                    missing: false,
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

    /// Returns when entries that vanished in an outage are gone.
    pub fn missing_until(&self) -> Option<Instant> {
        self.missing_until
    }

    /// Keeps the entries that vanished in an outage for longer.
    pub fn keep_missing_until(&mut self, until: Instant) {
        self.missing_until = self.missing_until.map(|_| until);
    }

    /// Drops the entries that vanished in an outage.
    pub fn drop_missing(&mut self) {
        self.listed.retain(|listed| !listed.missing);
        self.missing_until = None;
    }

    /// Returns all entries, sorted by runner.
    pub fn entries(&self) -> Vec<RunnerEntry> {
        let mut entries: Vec<_> = self.listed.iter().map(|l| l.entry.clone()).collect();
        entries.sort_by(|a, b| a.key.cmp(&b.key));
        entries.dedup_by(|a, b| a.key == b.key);
        entries
    }
}
