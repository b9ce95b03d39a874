//! Counts of the calls that the service took.

use {
    serde::{Deserialize, Serialize},
    std::sync::atomic::{AtomicU64, Ordering},
};

/// The kinds of calls, each counted on its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A range read.
    Range,
    /// A transaction.
    Txn,
    /// The grant of a lease.
    GrantLease,
    /// The renewal of a lease.
    RenewLease,
    /// The end of a lease.
    RevokeLease,
    /// The start of a watch.
    Watch,
}

/// How many calls of each kind were made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Range reads.
    pub range: u64,
    /// Transactions.
    pub txn: u64,
    /// Grants of leases.
    pub grant_lease: u64,
    /// Renewals of leases.
    pub renew_lease: u64,
    /// Ends of leases.
    pub revoke_lease: u64,
    /// Watches that were started.
    pub watch: u64,
}

impl CallCounts {
    /// Returns the calls of all kinds together.
    pub fn total(self) -> u64 {
        self.range + self.txn + self.grant_lease + self.renew_lease + self.revoke_lease + self.watch
    }
}

/// Counters that several tasks increment.
#[derive(Debug, Default)]
pub(super) struct CallCounters {
    counters: [AtomicU64; 6],
}

impl CallCounters {
    pub(super) fn count(&self, kind: CallKind) {
        self.counters[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn read(&self) -> CallCounts {
        let get = |kind: CallKind| self.counters[kind as usize].load(Ordering::Relaxed);
        CallCounts {
            range: get(CallKind::Range),
            txn: get(CallKind::Txn),
            grant_lease: get(CallKind::GrantLease),
            renew_lease: get(CallKind::RenewLease),
            revoke_lease: get(CallKind::RevokeLease),
            watch: get(CallKind::Watch),
        }
    }
}
