//! The leases of the key-value service.

use crate::store::{Lease, LeaseId};

#[derive(Debug, Clone)]
struct LeaseState {
    id: LeaseId,
    ttl_s: u64,
    ends_ms: u64,
}

/// The leases that are alive, sorted by id.
#[derive(Debug, Clone, Default)]
pub struct Leases {
    leases: Vec<LeaseState>,
    last_id: i64,
}

impl Leases {
    /// Grants a lease that ends `ttl_s` after `now_ms`.
    pub fn grant(&mut self, ttl_s: u64, now_ms: u64) -> Lease {
        self.last_id += 1;
        let id = LeaseId(self.last_id);
        self.leases.push(LeaseState {
            id,
            ttl_s,
            ends_ms: now_ms + ttl_s * 1000,
        });
        Lease { id, ttl_s }
    }

    /// Renews a lease and returns its time to live, or `None` when it is gone.
    pub fn renew(&mut self, id: LeaseId, now_ms: u64) -> Option<u64> {
        let at = self.position(id).ok()?;
        let lease = &mut self.leases[at];
        lease.ends_ms = now_ms + lease.ttl_s * 1000;
        Some(lease.ttl_s)
    }

    /// Returns how long a lease lasts in seconds, or `None` when it is gone.
    pub fn ttl_s(&self, id: LeaseId) -> Option<u64> {
        let at = self.position(id).ok()?;
        Some(self.leases[at].ttl_s)
    }

    /// Ends a lease; returns whether it was alive.
    pub fn revoke(&mut self, id: LeaseId) -> bool {
        match self.position(id) {
            Ok(at) => {
                self.leases.remove(at);
                true
            }
            Err(_) => false,
        }
    }

    /// Returns whether a lease is alive.
    pub fn is_alive(&self, id: LeaseId) -> bool {
        self.position(id).is_ok()
    }

    /// Removes the leases that have ended by `now_ms` and returns them.
    pub fn expire(&mut self, now_ms: u64) -> Vec<LeaseId> {
        let ended = |lease: &LeaseState| lease.ends_ms <= now_ms;
        let gone = self.leases.iter().filter(|lease| ended(lease));
        let gone = gone.map(|lease| lease.id).collect();
        self.leases.retain(|lease| !ended(lease));
        gone
    }

    /// Lets all leases end later.
    pub fn extend(&mut self, by_ms: u64) {
        self.leases
            .iter_mut()
            .for_each(|lease| lease.ends_ms += by_ms);
    }

    /// Returns when the next lease ends unless it is renewed.
    pub fn next_end_ms(&self) -> Option<u64> {
        self.leases.iter().map(|lease| lease.ends_ms).min()
    }

    fn position(&self, id: LeaseId) -> Result<usize, usize> {
        self.leases.binary_search_by_key(&id, |lease| lease.id)
    }
}
