//! Exponential backoff with jitter.

use {rand::RngExt, std::time::Duration, tokio::time::Instant};

/// Exponential backoff with jitter, so that many VMs do not retry at the same moment.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    step: Duration,
}

impl Backoff {
    /// Creates a backoff whose delays start at `initial` and double up to `max`, before jitter.
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            step: initial,
        }
    }

    /// Returns the next delay, between half of the current step and the whole step, and doubles the
    /// step.
    pub fn next_delay(&mut self) -> Duration {
        let step = self.step;
        self.step = (step * 2).min(self.max);
        with_equal_jitter(step)
    }

    /// Returns the delay after a failed attempt that began at `started`.
    ///
    /// The duration of the attempt is subtracted, but a jittered first step always remains.
    pub fn delay_since(&mut self, started: Instant) -> Duration {
        let delay = self.next_delay().saturating_sub(started.elapsed());
        delay.max(with_equal_jitter(self.initial))
    }

    /// Returns to the first step, after a success.
    pub fn reset(&mut self) {
        self.step = self.initial;
    }
}

/// Returns a random duration between half of `step` and the whole step.
fn with_equal_jitter(step: Duration) -> Duration {
    step.mul_f64(rand::rng().random_range(0.5..=1.0))
}

/// Returns a random duration between 75 % and 125 % of `interval`.
pub fn with_jitter(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.75..=1.25))
}
