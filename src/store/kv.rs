//! The interface of the key-value service: ranges, transactions, leases and watches.

use {
    super::StoreError,
    bytes::Bytes,
    futures::{
        future::{BoxFuture, FutureExt},
        stream::BoxStream,
    },
    std::{fmt, sync::Arc},
};

/// The largest number of keys that are read for their changes.
const CHANGED_KEYS_MAX: usize = 100_000;

/// A client of the key-value service that all parts of a process share.
pub type SharedStore = Arc<dyn Store>;

/// A version of the key space; every write increases it.
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

/// The result of a range read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    /// The entries found, sorted by key.
    pub entries: Vec<Entry>,
    /// The version of the key space at the read.
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
        /// The lease whose expiry or revocation removes the key.
        lease: Option<LeaseId>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        key: String,
    },
    /// Removes the keys from `start` up to but not including `end`.
    DeleteRange {
        /// The first key of the range.
        start: String,
        /// The first key after the range.
        end: String,
    },
    /// Reads a key.
    Get {
        /// The key.
        key: String,
    },
}

/// An atomic transaction: runs `then` if all conditions hold, and `otherwise` if not.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// The operations that run when all conditions hold.
    pub then: Vec<Op>,
    /// The operations that run when a condition does not hold.
    pub otherwise: Vec<Op>,
}

/// The result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TxnReply {
    /// Whether all conditions held.
    pub succeeded: bool,
    /// The version of the key space after the transaction.
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
    /// Returns the version of the write or removal.
    pub fn version(&self) -> StoreVersion {
        match self {
            Self::Put(entry) => entry.modified,
            Self::Delete { version, .. } => *version,
        }
    }

    /// Returns the changed key.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(entry) => &entry.key,
            Self::Delete { key, .. } => key,
        }
    }
}

/// A batch of changes that became visible together.
///
/// An empty batch shows that the watch is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The changes, in the order of their versions.
    pub changes: Vec<Change>,
    /// The version up to which the watch has now reported.
    pub version: StoreVersion,
}

impl Changes {
    /// Creates an empty batch, which reports that nothing changed up to a version.
    pub fn none_after(version: StoreVersion) -> Self {
        Self {
            changes: Vec::new(),
            version,
        }
    }
}

/// A granted lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The identifier.
    pub id: LeaseId,
    /// The time to live without a renewal, in seconds.
    pub ttl_s: u64,
}

/// A client of the key-value service.
pub trait Store: Send + Sync {
    /// Reads the keys that start with `prefix`, at most `limit` of them.
    ///
    /// # Errors
    ///
    /// Fails if the service cannot be reached, refuses the call or does not respond in time.
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        async move { self.range_between(prefix, &prefix_end(prefix), limit).await }.boxed()
    }

    /// Reads the keys from `start` up to but not including `end`, at most `limit` of them.
    ///
    /// # Errors
    ///
    /// Fails if the service cannot be reached, refuses the call or does not respond in time.
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
    /// Fails if the service cannot be reached, refuses the call or does not respond in time.
    fn grant_lease(&self, ttl_s: u64) -> BoxFuture<'_, Result<Lease, StoreError>>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::LeaseLapsed`] if the lease has expired or was revoked.
    fn renew_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Revokes a lease and removes its keys.
    ///
    /// # Errors
    ///
    /// Fails if the service cannot be reached, refuses the call or does not respond in time.
    fn revoke_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Reads the changes to keys that start with `prefix` after `since`, without waiting for any.
    ///
    /// All writes that were acknowledged before the call are included. Removals may be left out.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Compacted`] if the service no longer has these changes.
    fn changes_now<'a>(
        &'a self,
        prefix: &'a str,
        since: StoreVersion,
    ) -> BoxFuture<'a, Result<Changes, StoreError>> {
        async move {
            let range = self.range(prefix, CHANGED_KEYS_MAX).await?;
            let written = range.entries.into_iter();
            let written = written.filter(|entry| entry.modified > since);
            Ok(Changes {
                changes: written.map(Change::Put).collect(),
                version: range.version,
            })
        }
        .boxed()
    }

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
