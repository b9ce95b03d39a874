//! Growing, jittered pauses between tries.

use {rand::RngExt, std::time::Duration, tokio::time::Instant};

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
        jittered_down(step)
    }

    /// Returns the pause after a failed try that began at `started`.
    ///
    /// The time that the try took counts towards the pause. Half of the first step is the least.
    pub fn pause_since(&mut self, started: Instant) -> Duration {
        let pause = self.next_pause().saturating_sub(started.elapsed());
        pause.max(jittered_down(self.first))
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}

/// Returns a duration between half of `step` and all of it.
fn jittered_down(step: Duration) -> Duration {
    step.mul_f64(rand::rng().random_range(0.5..=1.0))
}

/// Returns a duration within a quarter of `interval` around it.
pub fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.75..=1.25))
}
