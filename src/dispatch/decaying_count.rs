//! A count of events with exponential decay.

use tokio::time::Instant;

/// The time constant of the decay.
const DECAY_S: f64 = 1.5;

/// A count of events with exponential decay, which gives their recent rate.
#[derive(Debug, Clone, Copy)]
pub struct DecayingCount {
    count: f64,
    counted_at: Instant,
}

impl DecayingCount {
    /// Creates a count without events.
    pub fn new(now: Instant) -> Self {
        Self {
            count: 0.0,
            counted_at: now,
        }
    }

    /// Counts an event.
    pub fn add(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.counted_at = now;
    }

    /// Returns the recent rate of events per second.
    pub fn per_s(&self, now: Instant) -> f64 {
        self.decayed(now) / DECAY_S
    }

    fn decayed(&self, now: Instant) -> f64 {
        let elapsed_s = now.saturating_duration_since(self.counted_at).as_secs_f64();
        self.count * (-elapsed_s / DECAY_S).exp()
    }
}
