//! A count of events with exponential decay.

use tokio::time::Instant;

/// The time constant of the decay.
const FADE_S: f64 = 1.5;

/// A count of events with exponential decay, which gives their recent rate.
#[derive(Debug, Clone, Copy)]
pub struct DecayingCount {
    value: f64,
    at: Instant,
}

impl DecayingCount {
    /// Creates a count without events.
    pub fn new(now: Instant) -> Self {
        Self {
            value: 0.0,
            at: now,
        }
    }

    /// Counts an event.
    pub fn add(&mut self, now: Instant) {
        self.value = self.faded(now) + 1.0;
        self.at = now;
    }

    /// Returns the recent rate of events per second.
    pub fn per_s(&self, now: Instant) -> f64 {
        self.faded(now) / FADE_S
    }

    fn faded(&self, now: Instant) -> f64 {
        let elapsed_s = now.saturating_duration_since(self.at).as_secs_f64();
        self.value * (-elapsed_s / FADE_S).exp()
    }
}
