//! How old a configuration may be by which keys are served.

use {crate::node::Bounds, std::time::Duration};

/// How old a configuration may be by which keys are served, and how often its age is proven.
///
/// A node that loses every way to the store serves keys for at least 0.6 of the time within which a
/// revocation takes effect: the oldest proof of a node in contact and that time stay below the
/// bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgeBound {
    revoke: Duration,
}

impl AgeBound {
    /// Returns the bound that a deployment sets; `None` if it sets none.
    pub fn of(bounds: &Bounds) -> Option<Self> {
        let revoke = bounds.revoke_ms.filter(|_| bounds.fail_closed)?;
        Some(Self {
            revoke: Duration::from_millis(revoke),
        })
    }

    /// Returns the largest age at which a request with a key may be sent.
    ///
    /// The rest is left for the first byte to reach the runner.
    pub fn age_max(self) -> Duration {
        self.revoke - self.revoke / 25
    }

    /// Returns the time between two proofs.
    pub fn proof_interval(self) -> Duration {
        self.revoke / 4
    }

    /// Returns the age from which a node no longer relies on a peer for its proofs.
    pub fn reliance_max(self) -> Duration {
        self.revoke * 2 / 5
    }
}
