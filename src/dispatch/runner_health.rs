//! Whether a runner's answers are good, and how quick they are.

use {super::TryOutcome, std::time::Duration, tokio::time::Instant};

/// The weight of the newest try in the rates.
const NEWEST_WEIGHT: f64 = 0.15;

/// Tries before the rate of failures counts.
const TRIES_MIN: u32 = 6;

/// How far above the rate of its service the failures of a runner may be.
const FAILURES_ABOVE: f64 = 0.3;

/// The span over which slowness is forgotten, in seconds.
const SLOWNESS_FADE_S: f64 = 4.0;

const OUT_MIN_MS: u64 = 150;
const OUT_MAX_MS: u64 = 1_200;
const SUSPECT_MS: u64 = 300;
const SHED_MS: u64 = 40;
const WRONG_RUNNER_MS: u64 = 5_000;

/// What this node's tries say of a runner.
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

    /// Returns when it may get a request again, if it is out.
    pub fn out_until(&self, now: Instant) -> Option<Instant> {
        self.out_until.filter(|until| now < *until)
    }

    /// Notes that a request goes to the runner.
    pub fn started(&mut self) {
        self.probe_in_flight = self.out_ms > 0;
    }

    /// Notes that an answer began.
    pub fn answered(&mut self, now: Instant) {
        self.answered_at = Some(now);
        self.probe_in_flight = false;
        self.out_ms = 0;
    }

    /// Notes that a peer cannot reach the runner; own answers of late say more.
    pub fn suspect(&mut self, now: Instant) {
        let trust = Duration::from_millis(SUSPECT_MS);
        if self.answered_at.is_none_or(|at| now >= at + trust) && self.admits(now) {
            self.out_ms = self.out_ms.max(OUT_MIN_MS);
            self.out_until = Some(now + trust);
        }
    }

    /// Notes how a try ended.
    ///
    /// `service_failure_rate` is that of the whole service; `may_eject` tells whether few enough
    /// runners of the service are out.
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

    /// Notes a time against that of the service's other runners; 1 is as quick as they are.
    pub fn timed(&mut self, ratio: f64, now: Instant) {
        let known = self.slowness(now);
        let newest = ratio.clamp(0.1, 10.0);
        self.slowness = Some((known + (newest - known) * NEWEST_WEIGHT, now));
    }

    /// Returns how slow it is against the service's other runners; 1 is as quick as they are.
    ///
    /// Without new times this goes back to 1, so that a runner gets another chance.
    pub fn slowness(&self, now: Instant) -> f64 {
        let Some((slowness, timed_at)) = self.slowness else {
            return 1.0;
        };
        let elapsed_s = now.saturating_duration_since(timed_at).as_secs_f64();
        1.0 + (slowness - 1.0) * (-elapsed_s / SLOWNESS_FADE_S).exp()
    }

    /// Returns the share of late tries that failed.
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
