//! Watches whether the state of other nodes arrives.

use {std::time::Duration, tokio::time::Instant};

/// How long no digest must have arrived before that is logged.
const GAP_LOGGED_AFTER: Duration = Duration::from_secs(3);

/// When the last digest of the chosen aggregator arrived, and whether its absence is logged.
#[derive(Debug)]
pub(super) struct DigestWatch {
    arrived_at: Instant,
    is_logged: bool,
}

impl DigestWatch {
    pub fn new(now: Instant) -> Self {
        Self {
            arrived_at: now,
            is_logged: false,
        }
    }

    /// Records a digest.
    pub fn record(&mut self, now: Instant) {
        if self.is_logged {
            log::info!(
                after_ms = self.age(now).as_millis() as u64;
                "gossip: the state of other nodes arrives again."
            );
        }
        *self = Self::new(now);
    }

    /// Logs if no digest has arrived for long.
    pub fn check(&mut self, now: Instant) {
        if !self.is_logged && self.age(now) >= GAP_LOGGED_AFTER {
            self.is_logged = true;
            log::warn!(
                age_ms = self.age(now).as_millis() as u64;
                "gossip: no state of other nodes arrives."
            );
        }
    }

    /// Returns the time since the last digest.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.arrived_at)
    }
}
