//! A count of events that forgets old ones.

use tokio::time::Instant;

/// The span over which events fade, in seconds.
const FADE_S: f64 = 1.5;

/// A count of events that fades with time.
#[derive(Debug, Clone, Copy)]
pub struct DecayingCount {
    value: f64,
    at: Instant,
}

impl DecayingCount {
    /// Makes a count without events.
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

    /// Returns the events a second of late.
    pub fn per_s(&self, now: Instant) -> f64 {
        self.faded(now) / FADE_S
    }

    fn faded(&self, now: Instant) -> f64 {
        let elapsed_s = now.saturating_duration_since(self.at).as_secs_f64();
        self.value * (-elapsed_s / FADE_S).exp()
    }
}
