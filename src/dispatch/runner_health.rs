//! The health of a runner: failure rate, relative speed and outlier ejection.

use {super::AttemptOutcome, std::time::Duration, tokio::time::Instant};

/// The weight of the newest attempt in the moving averages.
const NEWEST_WEIGHT: f64 = 0.15;

/// Attempts before the failure rate may lead to an ejection.
const ATTEMPTS_MIN: u32 = 6;

/// How far a runner's failure rate may exceed the mean of its service.
const FAILURE_RATE_MARGIN: f64 = 0.3;

/// The time constant with which slowness decays to 1.
const SLOWNESS_DECAY_S: f64 = 4.0;

/// The first ejection; each further one takes twice as long.
const EJECTION_MIN_MS: u64 = 150;
/// The longest ejection of a runner that fails or can't be reached.
const EJECTION_MAX_MS: u64 = 1_200;
/// The ejection after a peer's report, and how long an own response outweighs such a report.
pub const PEER_SUSPICION: Duration = Duration::from_millis(300);
/// The ejection after a runner refused a request.
const SHED_EJECTION_MS: u64 = 40;
/// The longest ejection while another runner responds at the address.
const WRONG_RUNNER_EJECTION_MAX_MS: u64 = 5_000;

/// The health of a runner by this node's attempts and its peers' reports.
#[derive(Debug, Default)]
pub struct RunnerHealth {
    failure_rate: f64,
    slowness: Option<(f64, Instant)>,
    attempts: u32,
    responded_at: Option<Instant>,
    ejected_until: Option<Instant>,
    ejection_ms: u64,
    probe_in_flight: bool,
}

impl RunnerHealth {
    /// Returns whether the runner may get a request now.
    pub fn admits(&self, now: Instant) -> bool {
        self.ejected_until.is_none_or(|until| now >= until) && !self.probe_in_flight
    }

    /// Returns the end of the ejection if the runner is ejected now.
    pub fn ejected_until(&self, now: Instant) -> Option<Instant> {
        self.ejected_until.filter(|until| now < *until)
    }

    /// Records that a request is sent to the runner.
    pub fn record_start(&mut self) {
        self.probe_in_flight = self.ejection_ms > 0;
    }

    /// Lets a single request be sent first, as after an ejection.
    pub fn require_probe(&mut self) {
        self.ejection_ms = self.ejection_ms.max(EJECTION_MIN_MS);
    }

    /// Records that a response began, which ends probing.
    pub fn record_response(&mut self, now: Instant) {
        self.responded_at = Some(now);
        self.probe_in_flight = false;
        self.ejection_ms = 0;
    }

    /// Records that a peer cannot reach the runner, unless an own response is more recent.
    pub fn record_peer_failure(&mut self, now: Instant) {
        if self
            .responded_at
            .is_none_or(|at| now >= at + PEER_SUSPICION)
            && self.admits(now)
        {
            self.ejection_ms = self.ejection_ms.max(EJECTION_MIN_MS);
            self.ejected_until = Some(now + PEER_SUSPICION);
        }
    }

    /// Records the outcome of an attempt.
    ///
    /// `service_failure_rate` is the mean of the whole service; `may_eject` is whether few enough
    /// of the service's runners are ejected.
    pub fn record_outcome(
        &mut self,
        outcome: AttemptOutcome,
        service_failure_rate: f64,
        may_eject: bool,
        now: Instant,
    ) {
        self.probe_in_flight = false;
        match outcome {
            AttemptOutcome::Complete => {
                self.record_sample(0.0);
                self.ejected_until = None;
                self.record_response(now);
            }
            AttemptOutcome::Unreachable => self.eject(EJECTION_MAX_MS, now),
            AttemptOutcome::WrongRunner => self.eject(WRONG_RUNNER_EJECTION_MAX_MS, now),
            AttemptOutcome::Shed => {
                self.record_sample(1.0);
                self.ejected_until = Some(now + Duration::from_millis(SHED_EJECTION_MS));
                self.eject_if_outlier(service_failure_rate, may_eject, now);
            }
            AttemptOutcome::Failed | AttemptOutcome::Broken => {
                self.record_sample(1.0);
                self.eject_if_outlier(service_failure_rate, may_eject, now);
            }
            AttemptOutcome::Absent | AttemptOutcome::Withheld | AttemptOutcome::Cancelled => {}
        }
    }

    /// Records a response time relative to the service's other runners; 1 is equally fast.
    pub fn record_time_ratio(&mut self, ratio: f64, now: Instant) {
        let slowness = self.slowness(now);
        let newest = ratio.clamp(0.1, 10.0);
        self.slowness = Some((slowness + (newest - slowness) * NEWEST_WEIGHT, now));
    }

    /// Returns the response time relative to the service's other runners; 1 is equally fast.
    ///
    /// Without new samples the value decays to 1, so that the runner gets requests again.
    pub fn slowness(&self, now: Instant) -> f64 {
        let Some((slowness, measured_at)) = self.slowness else {
            return 1.0;
        };
        let elapsed_s = now.saturating_duration_since(measured_at).as_secs_f64();
        1.0 + (slowness - 1.0) * (-elapsed_s / SLOWNESS_DECAY_S).exp()
    }

    /// Returns the moving average of failed attempts.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn record_sample(&mut self, failed: f64) {
        self.attempts = self.attempts.saturating_add(1);
        self.failure_rate += (failed - self.failure_rate) * NEWEST_WEIGHT;
    }

    fn eject_if_outlier(&mut self, service_rate: f64, may_eject: bool, now: Instant) {
        let outlier = self.failure_rate > service_rate + FAILURE_RATE_MARGIN;
        if self.attempts >= ATTEMPTS_MIN && outlier && may_eject {
            self.eject(EJECTION_MAX_MS, now);
        }
    }

    fn eject(&mut self, max_ms: u64, now: Instant) {
        self.ejection_ms = (self.ejection_ms * 2).clamp(EJECTION_MIN_MS, max_ms);
        self.ejected_until = Some(now + Duration::from_millis(self.ejection_ms));
    }
}
