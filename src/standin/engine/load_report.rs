//! The load that the status reports, which lags behind.

use {crate::engine::Load, std::time::Duration, tokio::time::Instant};

/// Reports a load that is at least `lag` old while it is polled often.
#[derive(Debug)]
pub(super) struct LoadReport {
    reported: Load,
    next: Load,
    next_since: Instant,
}

impl LoadReport {
    pub(super) fn new() -> Self {
        Self {
            reported: Load::default(),
            next: Load::default(),
            next_since: Instant::now(),
        }
    }

    /// Returns the load to report, given the load now.
    pub(super) fn read(&mut self, now: Load, lag: Duration) -> Load {
        if lag.is_zero() {
            return now;
        }
        if self.next_since.elapsed() >= lag {
            self.reported = self.next;
            self.next = now;
            self.next_since = Instant::now();
        }
        self.reported
    }
}
