//! The lease that bounds how long claims stay in the store.

use {
    crate::store::{LeaseId, SharedStore, StoreError},
    std::time::Duration,
    tokio::{sync::Mutex, time::Instant},
};

/// How long a claim stays in the store at most, in seconds.
const CLAIM_TTL_S: u64 = 24 * 3600;

/// How long new claims are bound to the same lease.
const LEASE_REUSE_MAX: Duration = Duration::from_secs(3600);

/// The lease that new claims are bound to; a new one is granted when it grows old.
#[derive(Debug, Default)]
pub(super) struct ClaimLease {
    current: Mutex<Option<(LeaseId, Instant)>>,
}

impl ClaimLease {
    pub(super) async fn get_or_grant(&self, store: &SharedStore) -> Result<LeaseId, StoreError> {
        let mut current = self.current.lock().await;
        if let Some((id, granted_at)) = *current
            && granted_at.elapsed() < LEASE_REUSE_MAX
        {
            return Ok(id);
        }
        let granted_at = Instant::now();
        let lease = store.grant_lease(CLAIM_TTL_S).await?;
        *current = Some((lease.id, granted_at));
        Ok(lease.id)
    }

    /// Forgets a lease that has lapsed.
    pub(super) async fn invalidate(&self, id: LeaseId) {
        let mut current = self.current.lock().await;
        if current.is_some_and(|(current_id, _)| current_id == id) {
            *current = None;
        }
    }
}
