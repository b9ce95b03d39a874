//! When a leader may order, by its own clocks.

use {super::BootClock, crate::node::Bounds, std::time::Duration, tokio::time::Instant};

/// The shortest lease of a node, in milliseconds.
const LEASE_MS: u64 = 3_000;
/// The time that clocks may differ by over one lease.
const CLOCK_MARGIN: Duration = Duration::from_millis(200);
/// How long a leader goes on without the store where runners refuse old fencing tokens.
const UNCONFIRMED_MAX: Duration = Duration::from_secs(30);
/// A pause of the process from which on the term is confirmed anew.
const FREEZE_MIN: Duration = Duration::from_millis(250);
/// Added to the time in which a former holder may still give orders.
const HANDOVER_MARGIN: Duration = Duration::from_millis(200);

/// An instant on both clocks.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    /// On the runtime's clock, which may stand still while the VM is suspended.
    pub at: Instant,
    /// On the clock that does not.
    pub boot: Duration,
}

impl Moment {
    /// Returns the present moment.
    pub fn now(clock: &BootClock) -> Self {
        Self {
            at: Instant::now(),
            boot: clock.now(),
        }
    }

    /// Returns the time since an earlier moment, by the clock that saw more of it.
    pub fn since(&self, earlier: Self) -> Duration {
        let steady = self.at.duration_since(earlier.at);
        steady.max(self.boot.saturating_sub(earlier.boot))
    }
}

/// The spans that decide over a leader's right to order.
#[derive(Debug, Clone, Copy)]
pub struct TenureRules {
    /// The lease of a node.
    pub lease: Duration,
    /// How long a term lasts after the sending of the last renewal that succeeded.
    pub unconfirmed_max: Duration,
    /// How long a new holder waits once the former one can no longer order.
    pub handover: Duration,
    /// How long a holder gives no orders after a freeze.
    pub thaw_slack: Duration,
}

impl TenureRules {
    /// Derives the spans from the platform's bounds.
    ///
    /// Where runners refuse old fencing tokens, a term outlasts an outage of the store: no node
    /// can take the seat meanwhile, and one that takes it later, with a higher token, makes the
    /// runners refuse this one. Elsewhere a term ends before the lease can; as the store may also
    /// take the keys away sooner, a new holder waits that term out as well.
    pub fn new(bounds: &Bounds) -> Self {
        let lease = Duration::from_millis(bounds.lease_min_ms.max(LEASE_MS));
        let lease = Duration::from_secs(lease.as_millis().div_ceil(1000) as u64);
        Self::within(lease, bounds)
    }

    /// Does as [`TenureRules::new`] for a lease that was granted under other bounds.
    pub fn within(lease: Duration, bounds: &Bounds) -> Self {
        let unconfirmed_max = match bounds.fencing_enforced {
            true => UNCONFIRMED_MAX,
            false => lease.saturating_sub(CLOCK_MARGIN),
        };
        let outlasted = match bounds.fencing_enforced {
            true => Duration::ZERO,
            false => unconfirmed_max,
        };
        Self {
            lease,
            unconfirmed_max,
            handover: Duration::from_millis(bounds.lease_ms) + HANDOVER_MARGIN + outlasted,
            thaw_slack: Duration::from_millis(bounds.thaw_slack_ms),
        }
    }

    /// Returns rules that keep to both, for a term of which it is not known by which it began.
    pub fn strictest(self, other: Self) -> Self {
        Self {
            lease: self.lease.min(other.lease),
            unconfirmed_max: self.unconfirmed_max.min(other.unconfirmed_max),
            handover: self.handover.max(other.handover),
            thaw_slack: self.thaw_slack.max(other.thaw_slack),
        }
    }

    /// Returns whether a renewal that succeeded after `waited` tells that the lease still runs.
    pub fn is_fresh(&self, waited: Duration) -> bool {
        waited < self.lease.saturating_sub(CLOCK_MARGIN)
    }

    /// Returns whether a process that meant to pause for `planned` was frozen.
    pub fn is_freeze(paused: Duration, planned: Duration) -> bool {
        paused > planned + FREEZE_MIN
    }
}
