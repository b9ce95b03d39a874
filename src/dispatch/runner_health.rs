//! The health of a runner: failure rate, relative speed and outlier ejection.

use {super::TryOutcome, std::time::Duration, tokio::time::Instant};

/// The weight of the newest attempt in the moving averages.
const NEWEST_WEIGHT: f64 = 0.15;

/// Attempts before the failure rate may lead to an ejection.
const TRIES_MIN: u32 = 6;

/// How far a runner's failure rate may exceed the mean of its service.
const FAILURES_ABOVE: f64 = 0.3;

/// The time constant with which slowness decays to 1.
const SLOWNESS_FADE_S: f64 = 4.0;

/// The first ejection; each further one takes twice as long.
const OUT_MIN_MS: u64 = 150;
/// The longest ejection.
const OUT_MAX_MS: u64 = 1_200;
/// The ejection after a peer's report, and how long an own answer outweighs such a report.
const SUSPECT_MS: u64 = 300;
/// The ejection after a runner refused a request.
const SHED_MS: u64 = 40;
/// The ejection after another runner answered at the address.
const WRONG_RUNNER_MS: u64 = 5_000;

/// The health of a runner by this node's attempts and its peers' reports.
#[derive(Debug, Default)]
pub struct RunnerHealth {
    failure_rate: f64,
    slowness: Option<(f64, Instant)>,
    tries: u32,
    answered_at: Option<Instant>,
    out_until: Option<Instant>,
    out_ms: u64,
    probe_in_flight: bool,
}

impl RunnerHealth {
    /// Returns whether the runner may get a request now.
    pub fn admits(&self, now: Instant) -> bool {
        self.out_until.is_none_or(|until| now >= until) && !self.probe_in_flight
    }

    /// Returns the end of the ejection if the runner is ejected now.
    pub fn out_until(&self, now: Instant) -> Option<Instant> {
        self.out_until.filter(|until| now < *until)
    }

    /// Records that a request is sent to the runner.
    pub fn started(&mut self) {
        self.probe_in_flight = self.out_ms > 0;
    }

    /// Records that an answer began, which ends probing.
    pub fn answered(&mut self, now: Instant) {
        self.answered_at = Some(now);
        self.probe_in_flight = false;
        self.out_ms = 0;
    }

    /// Records that a peer cannot reach the runner, unless an own answer is more recent.
    pub fn suspect(&mut self, now: Instant) {
        let trust = Duration::from_millis(SUSPECT_MS);
        if self.answered_at.is_none_or(|at| now >= at + trust) && self.admits(now) {
            self.out_ms = self.out_ms.max(OUT_MIN_MS);
            self.out_until = Some(now + trust);
        }
    }

    /// Records the outcome of an attempt.
    ///
    /// `service_failure_rate` is the mean of the whole service; `may_eject` is whether few enough
    /// of the service's runners are ejected.
    pub fn ended(
        &mut self,
        outcome: TryOutcome,
        service_failure_rate: f64,
        may_eject: bool,
        now: Instant,
    ) {
        self.probe_in_flight = false;
        match outcome {
            TryOutcome::Complete => {
                self.rate(0.0);
                self.out_until = None;
                self.answered(now);
            }
            TryOutcome::Unreachable => self.leave_out(now),
            TryOutcome::WrongRunner => {
                self.out_until = Some(now + Duration::from_millis(WRONG_RUNNER_MS));
            }
            TryOutcome::Shed => {
                self.rate(1.0);
                self.out_until = Some(now + Duration::from_millis(SHED_MS));
                self.eject_if_outlier(service_failure_rate, may_eject, now);
            }
            TryOutcome::Failed | TryOutcome::Broken => {
                self.rate(1.0);
                self.eject_if_outlier(service_failure_rate, may_eject, now);
            }
            TryOutcome::Absent | TryOutcome::Cancelled => {}
        }
    }

    /// Records an answer time relative to the service's other runners; 1 is equally fast.
    pub fn timed(&mut self, ratio: f64, now: Instant) {
        let known = self.slowness(now);
        let newest = ratio.clamp(0.1, 10.0);
        self.slowness = Some((known + (newest - known) * NEWEST_WEIGHT, now));
    }

    /// Returns the answer time relative to the service's other runners; 1 is equally fast.
    ///
    /// Without new samples the value decays to 1, so that the runner gets requests again.
    pub fn slowness(&self, now: Instant) -> f64 {
        let Some((slowness, timed_at)) = self.slowness else {
            return 1.0;
        };
        let elapsed_s = now.saturating_duration_since(timed_at).as_secs_f64();
        1.0 + (slowness - 1.0) * (-elapsed_s / SLOWNESS_FADE_S).exp()
    }

    /// Returns the moving average of failed attempts.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn rate(&mut self, failed: f64) {
        self.tries = self.tries.saturating_add(1);
        self.failure_rate += (failed - self.failure_rate) * NEWEST_WEIGHT;
    }

    fn eject_if_outlier(&mut self, service_rate: f64, may_eject: bool, now: Instant) {
        let outlier = self.failure_rate > service_rate + FAILURES_ABOVE;
        if self.tries >= TRIES_MIN && outlier && may_eject {
            self.leave_out(now);
        }
    }

    fn leave_out(&mut self, now: Instant) {
        self.out_ms = (self.out_ms * 2).clamp(OUT_MIN_MS, OUT_MAX_MS);
        self.out_until = Some(now + Duration::from_millis(self.out_ms));
    }
}
