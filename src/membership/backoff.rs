//! Exponential backoff with jitter.

use {rand::RngExt, std::time::Duration, tokio::time::Instant};

/// Exponential backoff with jitter, so that many VMs do not retry at the same moment.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff whose delays start at `first` and double up to `longest`, before jitter.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            next: first,
        }
    }

    /// Returns the next delay, between half of the current step and the whole step, and doubles the
    /// step.
    pub fn next_pause(&mut self) -> Duration {
        let step = self.next;
        self.next = (step * 2).min(self.longest);
        jittered_down(step)
    }

    /// Returns the delay after a failed attempt that began at `started`.
    ///
    /// The duration of the attempt is subtracted, down to the shortest delay of the first step.
    pub fn pause_since(&mut self, started: Instant) -> Duration {
        let pause = self.next_pause().saturating_sub(started.elapsed());
        pause.max(jittered_down(self.first))
    }

    /// Returns to the first step, after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}

/// Returns a random duration between half of `step` and the whole step.
fn jittered_down(step: Duration) -> Duration {
    step.mul_f64(rand::rng().random_range(0.5..=1.0))
}

/// Returns a random duration between 75 % and 125 % of `interval`.
pub fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.75..=1.25))
}
