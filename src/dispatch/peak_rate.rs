//! The recent peak of a rate.

use tokio::time::Instant;

/// The time constant with which a peak decays.
const PEAK_DECAY_S: f64 = 10.0;

/// The recent peak of a rate, with exponential decay.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeakRate {
    per_s: f64,
    measured_at: Instant,
}

impl PeakRate {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            per_s: 0.0,
            measured_at: now,
        }
    }

    /// Updates the peak with a measured rate.
    pub(super) fn update(&mut self, per_s: f64, now: Instant) {
        if per_s >= self.per_s(now) {
            self.per_s = per_s;
            self.measured_at = now;
        }
    }

    pub(super) fn per_s(&self, now: Instant) -> f64 {
        let elapsed_s = now
            .saturating_duration_since(self.measured_at)
            .as_secs_f64();
        self.per_s * (-elapsed_s / PEAK_DECAY_S).exp()
    }
}
