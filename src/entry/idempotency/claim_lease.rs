//! The lease that bounds how long claims stay in the store.

use {
    crate::store::{LeaseId, SharedStore, StoreError},
    std::time::Duration,
    tokio::{sync::Mutex, time::Instant},
};

/// How long a claim stays in the store at most, in seconds.
const CLAIM_TTL_S: u64 = 24 * 3600;

/// How long new claims are bound to the same lease.
const LEASE_USE_MAX: Duration = Duration::from_secs(3600);

/// The lease that new claims are bound to; a new one is granted when it grows old.
#[derive(Debug, Default)]
pub(super) struct ClaimLease {
    current: Mutex<Option<(LeaseId, Instant)>>,
}

impl ClaimLease {
    pub(super) async fn get(&self, store: &SharedStore) -> Result<LeaseId, StoreError> {
        let mut current = self.current.lock().await;
        if let Some((id, granted)) = *current
            && granted.elapsed() < LEASE_USE_MAX
        {
            return Ok(id);
        }
        let granted = Instant::now();
        let lease = store.grant_lease(CLAIM_TTL_S).await?;
        *current = Some((lease.id, granted));
        Ok(lease.id)
    }

    /// Forgets a lease that has lapsed.
    pub(super) async fn forget(&self, id: LeaseId) {
        let mut current = self.current.lock().await;
        if current.is_some_and(|(held, _)| held == id) {
            *current = None;
        }
    }
}
