//! How slow a runner is relative to the others of its service.

use {std::time::Duration, tokio::time::Instant};

/// The smallest weight of the newest sample in the usual slowness.
const USUAL_WEIGHT_MIN: f64 = 0.08;

/// The time constant of the weight of a sample in the usual slowness after a time without any.
const USUAL_RENEWAL_S: f64 = 5.0;

/// The weight of the newest sample in the present deviation from it.
const DEVIATION_WEIGHT: f64 = 0.6;

/// The time constant with which the usual slowness returns to the mean without new samples.
const USUAL_DECAY_S: f64 = 20.0;

/// The time constant with which a deviation is forgotten.
const DEVIATION_DECAY_S: f64 = 0.4;

/// The largest slowness that counts, as a logarithm, either way.
const LOG_SLOWNESS_MAX: f64 = 1.8;

/// How long an own sample is news for peers.
const REPORTED_FOR: Duration = Duration::from_millis(400);

/// The estimated slowness of a runner: what is usual, and how it deviates from it now.
///
/// Without new samples the deviation ends soon, and the usual slowness returns to the mean of the
/// service in time, so that a runner that recovered is tried again.
#[derive(Debug, Default)]
pub struct RunnerSpeed {
    usual_log: f64,
    deviation_log: f64,
    samples: u32,
    sampled_at: Option<Instant>,
    own_sample_at: Option<Instant>,
}

impl RunnerSpeed {
    /// Records a slowness that this node observed, as a logarithm.
    pub fn record(&mut self, log_slowness: f64, now: Instant) {
        self.own_sample_at = Some(now);
        self.record_sample(log_slowness, now);
    }

    /// Records a slowness that a peer observed lately, as a logarithm.
    pub fn record_report(&mut self, log_slowness: f64, now: Instant) {
        if log_slowness.is_finite() {
            self.record_sample(log_slowness, now);
        }
    }

    /// Returns the time that the runner needs relative to the mean of its service.
    pub fn slowness(&self, now: Instant) -> f64 {
        self.log_slowness(now).exp()
    }

    /// Returns the logarithm of the slowness.
    pub fn log_slowness(&self, now: Instant) -> f64 {
        let age_s = self.age_s(now);
        let deviation = self.deviation_log * (-age_s / DEVIATION_DECAY_S).exp();
        let log = self.usual_log(now) + deviation;
        log.clamp(-LOG_SLOWNESS_MAX, LOG_SLOWNESS_MAX)
    }

    /// Returns the logarithm of the usual slowness.
    pub fn usual_log(&self, now: Instant) -> f64 {
        self.usual_log * (-self.age_s(now) / USUAL_DECAY_S).exp()
    }

    /// Returns the number of samples.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns the logarithm of the slowness if an own sample is recent enough to be reported.
    pub fn report(&self, now: Instant) -> Option<f64> {
        let is_new = self.own_sample_at.is_some_and(|at| now < at + REPORTED_FOR);
        is_new.then(|| self.log_slowness(now))
    }

    /// Adds to the logarithm of the usual slowness.
    pub(super) fn shift(&mut self, log: f64, now: Instant) {
        let decay = (-self.age_s(now) / USUAL_DECAY_S).exp();
        self.usual_log += log / decay;
    }

    fn record_sample(&mut self, log_slowness: f64, now: Instant) {
        let observed = log_slowness.clamp(-LOG_SLOWNESS_MAX, LOG_SLOWNESS_MAX);
        let deviation = self.log_slowness(now) - self.usual_log(now);
        self.samples = self.samples.saturating_add(1);
        let for_first = 1.0 / f64::from(self.samples + 1);
        let for_age = 1.0 - (-self.age_s(now) / USUAL_RENEWAL_S).exp();
        let weight = USUAL_WEIGHT_MIN.max(for_first).max(for_age);
        self.usual_log = self.usual_log(now) + (observed - self.usual_log(now)) * weight;
        let observed_deviation = observed - self.usual_log;
        self.deviation_log = deviation + (observed_deviation - deviation) * DEVIATION_WEIGHT;
        self.sampled_at = Some(now);
    }

    /// Returns the age of the newest sample in seconds.
    pub fn age_s(&self, now: Instant) -> f64 {
        let age = self.sampled_at.map(|at| now.saturating_duration_since(at));
        age.unwrap_or_default().as_secs_f64()
    }
}
