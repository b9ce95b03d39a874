//! The share of a node's link that responses to its peers may use.

use {
    crate::gossip::SendBudget,
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::time::Instant,
};

/// Limits the bytes of responses to peers, which often request the same state at once.
#[derive(Debug, Clone)]
pub struct ResponseBudget(Arc<Mutex<SendBudget>>);

impl ResponseBudget {
    /// Creates the budget of a node whose link has the given rate.
    pub fn new(link_mbps: f64) -> Self {
        let budget = SendBudget::new(link_mbps, Instant::now());
        Self(Arc::new(Mutex::new(budget)))
    }

    /// Replaces the rate of the node's link.
    pub fn set_link(&self, link_mbps: f64) {
        *self.lock() = SendBudget::new(link_mbps, Instant::now());
    }

    /// Records a response unless earlier ones use the share; returns whether it may be sent.
    pub(super) fn try_spend(&self, bytes: usize) -> bool {
        let now = Instant::now();
        let mut budget = self.lock();
        let is_free = budget.is_free(now);
        if is_free {
            budget.spend([bytes], now);
        }
        is_free
    }

    /// Records a response.
    pub(super) fn spend(&self, bytes: usize) {
        self.lock().spend([bytes], Instant::now());
    }

    /// Returns when the responses so far are within the share.
    pub(super) fn free_at(&self) -> Instant {
        self.lock().free_at()
    }

    fn lock(&self) -> MutexGuard<'_, SendBudget> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
