//! The load that the status reports, which lags behind.

use {crate::engine::EngineLoad, std::time::Duration, tokio::time::Instant};

/// Reports a load that is at least `lag` old while it is polled often.
#[derive(Debug)]
pub(super) struct LoadReport {
    reported: EngineLoad,
    next: EngineLoad,
    next_since: Instant,
}

impl LoadReport {
    pub(super) fn new() -> Self {
        Self {
            reported: EngineLoad::default(),
            next: EngineLoad::default(),
            next_since: Instant::now(),
        }
    }

    /// Returns the load to report, given the load now.
    pub(super) fn read(&mut self, now: EngineLoad, lag: Duration) -> EngineLoad {
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
