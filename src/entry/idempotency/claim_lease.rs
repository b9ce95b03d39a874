//! The store lease that expires claims.

use {
    crate::store::{LeaseId, SharedStore, StoreError},
    std::time::Duration,
    tokio::{sync::Mutex, time::Instant},
};

/// The lifetime of a claim in the store, in seconds.
const CLAIM_TTL_S: u64 = 24 * 3600;

/// How long new claims are attached to the same lease.
const LEASE_REUSE_MAX: Duration = Duration::from_secs(3600);

/// The lease that new claims are attached to; it is replaced after [`LEASE_REUSE_MAX`].
#[derive(Debug, Default)]
pub(super) struct ClaimLease {
    current: Mutex<Option<(LeaseId, Instant)>>,
}

impl ClaimLease {
    /// Returns the current lease, or requests a new one from the store.
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

    /// Discards a lease that has expired or was refused, so that the next claim requests a new one.
    pub(super) async fn invalidate(&self, id: LeaseId) {
        let mut current = self.current.lock().await;
        if current.is_some_and(|(current_id, _)| current_id == id) {
            *current = None;
        }
    }
}
