//! The timing of leases and terms, which decides by a leader's own clocks when it may send orders.

use {super::BootClock, crate::node::Bounds, std::time::Duration, tokio::time::Instant};

/// The shortest lease of a node, in milliseconds.
const LEASE_MIN_MS: u64 = 3_000;
/// The largest drift between the clocks of a node and the store over one lease.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(200);
/// How long a term lasts without a renewal where runners reject old fencing tokens.
const FENCED_UNCONFIRMED_MAX: Duration = Duration::from_secs(30);
/// The shortest overrun of a sleep that counts as a freeze, after which the lease must be renewed.
const FREEZE_OVERRUN_MIN: Duration = Duration::from_millis(250);
/// The margin added to the time in which a former leader may still send orders.
const HANDOVER_WAIT_MARGIN: Duration = Duration::from_millis(200);

/// A simultaneous reading of the runtime's clock and the boot clock.
#[derive(Debug, Clone, Copy)]
pub struct ClockReading {
    /// The runtime's clock, which may stop while the VM is suspended.
    pub runtime: Instant,
    /// The boot clock, which includes suspend time.
    pub boot: Duration,
}

impl ClockReading {
    /// Reads both clocks.
    pub fn now(clock: &BootClock) -> Self {
        Self {
            runtime: Instant::now(),
            boot: clock.now(),
        }
    }

    /// Returns the time since an earlier reading, by the clock that advanced further.
    pub fn elapsed_since(&self, earlier: Self) -> Duration {
        let runtime_elapsed = self.runtime.duration_since(earlier.runtime);
        runtime_elapsed.max(self.boot.saturating_sub(earlier.boot))
    }
}

/// The durations that bound how long a leader may send orders.
#[derive(Debug, Clone, Copy)]
pub struct TermTiming {
    /// The TTL of a node's lease.
    pub lease_ttl: Duration,
    /// How long a term lasts after the last successful renewal was sent.
    pub unconfirmed_max: Duration,
    /// How long a new leader waits after the former leader's key was deleted.
    pub handover_wait: Duration,
    /// How long a leader sends no orders after a freeze.
    pub thaw_slack: Duration,
}

impl TermTiming {
    /// Derives the durations from the platform's bounds.
    ///
    /// Where runners reject old fencing tokens, a term outlasts an outage of the store: no node
    /// can write the leader key during the outage, and a later leader's higher token makes the
    /// runners reject this leader. Elsewhere a term ends before the lease can expire. As the store
    /// may delete the keys earlier than that, a new leader also waits for the former term to end.
    pub fn new(bounds: &Bounds) -> Self {
        let lease = Duration::from_millis(bounds.lease_min_ms.max(LEASE_MIN_MS));
        let lease = Duration::from_secs(lease.as_millis().div_ceil(1000) as u64);
        Self::for_lease_ttl(lease, bounds)
    }

    /// Derives the durations as [`TermTiming::new`] does, for a lease with a given TTL, which may
    /// have been granted under other bounds.
    pub fn for_lease_ttl(lease: Duration, bounds: &Bounds) -> Self {
        let unconfirmed_max = match bounds.fencing_enforced {
            true => FENCED_UNCONFIRMED_MAX,
            false => lease.saturating_sub(CLOCK_DRIFT_MARGIN),
        };
        let former_term_max = match bounds.fencing_enforced {
            true => Duration::ZERO,
            false => unconfirmed_max,
        };
        Self {
            lease_ttl: lease,
            unconfirmed_max,
            handover_wait: Duration::from_millis(bounds.lease_ms)
                + HANDOVER_WAIT_MARGIN
                + former_term_max,
            thaw_slack: Duration::from_millis(bounds.thaw_slack_ms),
        }
    }

    /// Returns the stricter value of each duration, for a term that began under one of the two.
    pub fn strictest(self, other: Self) -> Self {
        Self {
            lease_ttl: self.lease_ttl.min(other.lease_ttl),
            unconfirmed_max: self.unconfirmed_max.min(other.unconfirmed_max),
            handover_wait: self.handover_wait.max(other.handover_wait),
            thaw_slack: self.thaw_slack.max(other.thaw_slack),
        }
    }

    /// Returns whether the lease still runs when a successful renewal was sent `since_renewal` ago.
    pub fn is_lease_running(&self, since_renewal: Duration) -> bool {
        since_renewal < self.lease_ttl.saturating_sub(CLOCK_DRIFT_MARGIN)
    }

    /// Returns whether a sleep of `planned` that took `paused` shows that the process was frozen.
    pub fn is_freeze(paused: Duration, planned: Duration) -> bool {
        paused > planned + FREEZE_OVERRUN_MIN
    }
}
