//! The calls of the key-value service: ranges, transactions, leases and watches.

use {
    super::StoreError,
    bytes::Bytes,
    futures::{
        future::{BoxFuture, FutureExt},
        stream::BoxStream,
    },
    std::{fmt, sync::Arc},
};

/// A handle on the key-value service that all parts of a process share.
pub type SharedStore = Arc<dyn Store>;

/// The version of the whole key space at one write.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreVersion(pub i64);

/// Identifies a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseId(pub i64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// A key with its value and versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The version of the write that created the key.
    pub created: StoreVersion,
    /// The version of the last write to the key.
    pub modified: StoreVersion,
}

/// The answer to a range read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    /// The entries found, sorted by key.
    pub entries: Vec<Entry>,
    /// The version that the read saw.
    pub version: StoreVersion,
    /// Whether the limit cut off further entries.
    pub more: bool,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key was last written at this version.
    ModifiedAt(String, StoreVersion),
}

/// A write or read within a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Writes a key, bound to a lease if one is given.
    Put {
        /// The key.
        key: String,
        /// The new value.
        value: Bytes,
        /// The lease whose end removes the key.
        lease: Option<LeaseId>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        key: String,
    },
    /// Removes every key with a prefix, up to and without `end`.
    DeleteRange {
        /// The first key to go.
        start: String,
        /// The first key to stay.
        end: String,
    },
    /// Reads a key.
    Get {
        /// The key.
        key: String,
    },
}

/// A transaction: all conditions hold and `then` runs whole, or `otherwise` does.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// What runs when all conditions hold.
    pub then: Vec<Op>,
    /// What runs otherwise.
    pub otherwise: Vec<Op>,
}

/// The answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TxnReply {
    /// Whether all conditions held.
    pub succeeded: bool,
    /// The version of the key space after it.
    pub version: StoreVersion,
    /// The entries that the `Get` operations read, in their order; `None` for a missing key.
    pub reads: Vec<Option<Entry>>,
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Put(Entry),
    /// A key was removed.
    Delete {
        /// The key.
        key: String,
        /// The version of its removal.
        version: StoreVersion,
    },
}

impl Change {
    /// Returns the version of the write.
    pub fn version(&self) -> StoreVersion {
        match self {
            Self::Put(entry) => entry.modified,
            Self::Delete { version, .. } => *version,
        }
    }

    /// Returns the key.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(entry) => &entry.key,
            Self::Delete { key, .. } => key,
        }
    }
}

/// Changes that became visible together; an empty batch is a sign of life.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The changes in order.
    pub changes: Vec<Change>,
    /// The version up to which the watch has now reported.
    pub version: StoreVersion,
}

impl Changes {
    /// Makes an empty batch: nothing changed up to a version.
    pub fn none_after(version: StoreVersion) -> Self {
        Self {
            changes: Vec::new(),
            version,
        }
    }
}

/// A lease that was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Its identifier.
    pub id: LeaseId,
    /// How long it lasts without a renewal.
    pub ttl_s: u64,
}

/// The key-value service.
pub trait Store: Send + Sync {
    /// Reads the keys that start with `prefix`, at most `limit` of them.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached, refuses or stays silent.
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        async move { self.range_between(prefix, &prefix_end(prefix), limit).await }.boxed()
    }

    /// Reads the keys from `start` up to and without `end`, at most `limit` of them.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached, refuses or stays silent.
    fn range_between<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>>;

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// With [`StoreError::Unknown`] the transaction may have taken effect.
    fn txn(&self, txn: Txn) -> BoxFuture<'_, Result<TxnReply, StoreError>>;

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached, refuses or stays silent.
    fn grant_lease(&self, ttl_s: u64) -> BoxFuture<'_, Result<Lease, StoreError>>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseLapsed`] when the lease is gone.
    fn renew_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached, refuses or stays silent.
    fn revoke_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Watches the keys that start with `prefix`, from just after `since`.
    ///
    /// The stream ends after its first error.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: StoreVersion,
    ) -> BoxStream<'a, Result<Changes, StoreError>>;
}

/// Returns the first key after all keys that start with `prefix`.
pub fn prefix_end(prefix: &str) -> String {
    let mut bytes = prefix.as_bytes().to_vec();
    while let Some(last) = bytes.pop() {
        if last < 0x7f {
            bytes.push(last + 1);
            break;
        }
    }
    String::from_utf8(bytes).unwrap_or_default()
}
