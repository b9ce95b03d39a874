//! The state of the key-value service, without input, output or clock.

use {
    super::{Leases, change_log::ChangeLog},
    crate::store::{
        Change, Compare, Entry, Lease, LeaseId, Op, Range, StoreError, StoreVersion, Txn, TxnReply,
    },
    bytes::Bytes,
};

#[derive(Debug, Clone)]
struct StoredEntry {
    entry: Entry,
    lease: Option<LeaseId>,
}

/// The keys, leases and recent changes of the key-value service.
///
/// Times are milliseconds on a clock of the caller's choice.
#[derive(Debug, Clone)]
pub struct KvState {
    entries: Vec<StoredEntry>,
    leases: Leases,
    log: ChangeLog,
    version: StoreVersion,
}

impl Default for KvState {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            leases: Leases::default(),
            log: ChangeLog::default(),
            version: StoreVersion(1),
        }
    }
}

impl KvState {
    /// Returns the version of the last write.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns when the next lease ends unless it is renewed.
    pub fn next_lease_end_ms(&self) -> Option<u64> {
        self.leases.next_end_ms()
    }

    /// Lets all leases end later, as in a service that was away for a time and pauses its leases.
    pub fn extend_leases(&mut self, by_ms: u64) {
        self.leases.extend(by_ms);
    }

    /// Ends the leases whose time is over and removes their keys.
    pub fn expire_leases(&mut self, now_ms: u64) {
        for id in self.leases.expire(now_ms) {
            self.remove_keys_of(id);
        }
    }

    /// Reads the keys from `start` up to and without `end`, at most `limit` unless that is zero.
    pub fn range(&self, start: &str, end: &str, limit: usize) -> Range {
        let from = self
            .entries
            .partition_point(|e| e.entry.key.as_str() < start);
        let to = self.entries.partition_point(|e| e.entry.key.as_str() < end);
        let found = &self.entries[from..to.max(from)];
        let limit = if limit == 0 { found.len() } else { limit };
        let entries = found.iter().take(limit);
        Range {
            entries: entries.map(|stored| stored.entry.clone()).collect(),
            version: self.version,
            more: found.len() > limit,
        }
    }

    /// Reads one key.
    pub fn get(&self, key: &str) -> Option<Entry> {
        let at = self.position(key).ok()?;
        Some(self.entries[at].entry.clone())
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseLapsed`] when it would bind a key to a lease that is gone; nothing is
    /// written then.
    pub fn txn(&mut self, txn: &Txn) -> Result<TxnReply, StoreError> {
        let succeeded = txn.compare.iter().all(|compare| self.holds(compare));
        let ops = if succeeded { &txn.then } else { &txn.otherwise };
        self.check_leases(ops)?;
        let version = StoreVersion(self.version.0 + 1);
        let mut reads = Vec::new();
        let mut changed = false;
        for op in ops {
            match op {
                Op::Put { key, value, lease } => {
                    self.put(key, value.clone(), *lease, version);
                    changed = true;
                }
                Op::Delete { key } => changed |= self.delete(key, version),
                Op::DeleteRange { start, end } => {
                    changed |= self.delete_range(start, end, version);
                }
                Op::Get { key } => reads.push(self.get(key)),
            }
        }
        if changed {
            self.version = version;
            self.log.trim();
        }
        Ok(TxnReply {
            succeeded,
            version: self.version,
            reads,
        })
    }

    /// Grants a lease.
    pub fn grant_lease(&mut self, ttl_s: u64, now_ms: u64) -> Lease {
        self.leases.grant(ttl_s, now_ms)
    }

    /// Renews a lease and returns its time to live in seconds.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseLapsed`] when the lease is gone.
    pub fn renew_lease(&mut self, id: LeaseId, now_ms: u64) -> Result<u64, StoreError> {
        let renewed = self.leases.renew(id, now_ms);
        renewed.ok_or(StoreError::LeaseLapsed(id))
    }

    /// Returns how long a lease lasts in seconds, or `None` when it is gone.
    pub fn lease_ttl_s(&self, id: LeaseId) -> Option<u64> {
        self.leases.ttl_s(id)
    }

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseLapsed`] when the lease is already gone.
    pub fn revoke_lease(&mut self, id: LeaseId) -> Result<(), StoreError> {
        if !self.leases.revoke(id) {
            return Err(StoreError::LeaseLapsed(id));
        }
        self.remove_keys_of(id);
        Ok(())
    }

    /// Returns the changes after `since` to keys from `start` up to and without `end`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Compacted`] when some of them are not kept any more.
    pub fn changes_since(
        &self,
        start: &str,
        end: &str,
        since: StoreVersion,
    ) -> Result<Vec<Change>, StoreError> {
        self.log.since(start, end, since)
    }

    /// Forgets the changes up to and with `version`.
    pub fn compact(&mut self, version: StoreVersion) {
        self.log.compact(version);
    }

    fn position(&self, key: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|stored| stored.entry.key.as_str().cmp(key))
    }

    fn holds(&self, compare: &Compare) -> bool {
        match compare {
            Compare::Absent(key) => self.position(key).is_err(),
            Compare::ModifiedAt(key, version) => match self.position(key) {
                Ok(at) => self.entries[at].entry.modified == *version,
                Err(_) => *version == StoreVersion(0),
            },
        }
    }

    fn check_leases(&self, ops: &[Op]) -> Result<(), StoreError> {
        for op in ops {
            if let Op::Put {
                lease: Some(id), ..
            } = op
                && !self.leases.is_alive(*id)
            {
                return Err(StoreError::LeaseLapsed(*id));
            }
        }
        Ok(())
    }

    fn put(&mut self, key: &str, value: Bytes, lease: Option<LeaseId>, version: StoreVersion) {
        let position = self.position(key);
        let created = match position {
            Ok(at) => self.entries[at].entry.created,
            Err(_) => version,
        };
        let entry = Entry {
            key: key.to_owned(),
            value,
            created,
            modified: version,
        };
        self.log.push(Change::Put(entry.clone()));
        let stored = StoredEntry { entry, lease };
        match position {
            Ok(at) => self.entries[at] = stored,
            Err(at) => self.entries.insert(at, stored),
        }
    }

    fn delete(&mut self, key: &str, version: StoreVersion) -> bool {
        let Ok(at) = self.position(key) else {
            return false;
        };
        let key = self.entries.remove(at).entry.key;
        self.log.push(Change::Delete { key, version });
        true
    }

    fn delete_range(&mut self, start: &str, end: &str, version: StoreVersion) -> bool {
        let found = self.range(start, end, 0);
        for entry in &found.entries {
            self.delete(&entry.key, version);
        }
        !found.entries.is_empty()
    }

    fn remove_keys_of(&mut self, id: LeaseId) {
        let bound = self
            .entries
            .iter()
            .filter(|stored| stored.lease == Some(id));
        let keys: Vec<String> = bound.map(|stored| stored.entry.key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.version.0 += 1;
        for key in keys {
            self.delete(&key, self.version);
        }
        self.log.trim();
    }
}
