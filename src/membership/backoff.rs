//! Growing, jittered pauses between tries.

use {rand::RngExt, std::time::Duration};

/// Growing pauses with full jitter, so that many VMs do not try at the same moment.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    /// Starts with pauses up to `first`, which double up to `longest`.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            next: first,
        }
    }

    /// Returns the next pause: between half of the current step and all of it.
    pub fn next_pause(&mut self) -> Duration {
        let step = self.next;
        self.next = (step * 2).min(self.longest);
        step.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}

/// Returns a duration within a quarter of `interval` around it.
pub fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.75..=1.25))
}
