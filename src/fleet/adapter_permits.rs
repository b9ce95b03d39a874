//! Permits for concurrent adapter loads: each VM's share of the fleet's limit.

use {
    crate::units::VmName,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Returns a member's share of a limit; the shares of all members add up to the limit.
///
/// If there are more members than permits, the shares of the last ones are zero and they have to
/// borrow.
pub fn adapter_share(limit: u32, members: &[VmName], me: &VmName) -> u32 {
    let Some(rank) = members.iter().position(|member| member == me) else {
        return 0;
    };
    let count = members.len() as u64;
    let limit = u64::from(limit);
    let extra = u64::from((rank as u64) < limit % count);
    u32::try_from(limit / count + extra).unwrap_or(u32::MAX)
}

/// Permits that one VM lends to another for a limited time.
#[derive(Debug, Clone, Copy)]
struct Loan {
    permits: u32,
    expires_at: Instant,
}

#[derive(Debug, Default)]
struct PermitState {
    share: u32,
    in_flight: u32,
    lent: Vec<Loan>,
    borrowed: Vec<Loan>,
}

impl PermitState {
    /// Returns the present limit, without the loans that have ended.
    fn limit(&mut self) -> u32 {
        let now = Instant::now();
        self.lent.retain(|loan| loan.expires_at > now);
        self.borrowed.retain(|loan| loan.expires_at > now);
        let sum = |loans: &[Loan]| loans.iter().map(|loan| loan.permits).sum::<u32>();
        (self.share + sum(&self.borrowed)).saturating_sub(sum(&self.lent))
    }

    /// Returns the number of free permits.
    fn free(&mut self) -> u32 {
        self.limit().saturating_sub(self.in_flight)
    }
}

/// The permits for concurrent adapter loads of this VM.
#[derive(Debug, Default)]
pub struct AdapterPermits {
    state: Mutex<PermitState>,
}

impl AdapterPermits {
    fn state(&self) -> MutexGuard<'_, PermitState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets this VM's share of the fleet's limit.
    pub fn set_share(&self, share: u32) {
        self.state().share = share;
    }

    /// Acquires a permit if one is free.
    pub fn try_acquire(self: &Arc<Self>) -> Option<AdapterPermit> {
        let mut state = self.state();
        if state.free() == 0 {
            return None;
        }
        state.in_flight += 1;
        Some(AdapterPermit {
            permits: Arc::clone(self),
        })
    }

    /// Lends up to `desired` free permits to a peer for `duration`, and returns the
    /// number lent.
    pub fn lend(&self, desired: u32, duration: Duration) -> u32 {
        let mut state = self.state();
        let permits = desired.min(state.free());
        if permits > 0 {
            let expires_at = Instant::now() + duration;
            state.lent.push(Loan {
                permits,
                expires_at,
            });
        }
        permits
    }

    /// Adds permits borrowed from a peer until an instant.
    ///
    /// The caller counts the loan's duration from before its request, so that the loan ends here
    /// before it ends at the lender.
    pub fn borrow_until(&self, permits: u32, expires_at: Instant) {
        self.state().borrowed.push(Loan {
            permits,
            expires_at,
        });
    }
}

/// A permit for one adapter load in flight; dropping it frees the permit.
#[derive(Debug)]
pub struct AdapterPermit {
    permits: Arc<AdapterPermits>,
}

impl Drop for AdapterPermit {
    fn drop(&mut self) {
        let mut state = self.permits.state();
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}
