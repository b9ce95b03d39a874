//! The load and recent failures of one runner as seen from this process.

use {
    crate::{engine::EngineLoad, units::Incarnation},
    std::time::Duration,
    tokio::time::Instant,
};

/// The cooldown after the first failure; it doubles with each further one.
const COOLDOWN_MIN_MS: u64 = 250;
/// The longest cooldown.
const COOLDOWN_MAX_MS: u64 = 8_000;
/// The number of doublings after which the cooldown has reached its bound.
const COOLDOWN_DOUBLINGS_MAX: u32 = 5;

/// A runner's report of its own load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// The incarnation of the engine that sent the report.
    pub incarnation: Incarnation,
    /// The reported load.
    pub load: EngineLoad,
}

/// The load and recent failures of one runner as seen from this process.
#[derive(Debug, Default)]
pub(super) struct RunnerLoad {
    in_flight: u32,
    report: Option<TimedReport>,
    failures: u32,
    cooldown_until: Option<Instant>,
}

/// A load report with the state of this process when the report arrived.
#[derive(Debug)]
struct TimedReport {
    report: LoadReport,
    received: Instant,
    in_flight: u32,
}

impl RunnerLoad {
    pub fn start_request(&mut self) {
        self.in_flight += 1;
    }

    pub fn end_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Records a report, unless it is of an earlier incarnation of the engine.
    pub fn record_report(&mut self, report: LoadReport, now: Instant) {
        let newest = self.report.as_ref().map(|timed| timed.report.incarnation);
        if newest.is_some_and(|newest| newest > report.incarnation) {
            return;
        }
        self.report = Some(TimedReport {
            report,
            received: now,
            in_flight: self.in_flight,
        });
    }

    /// Estimates the requests at the runner: the reported number, corrected by the requests that
    /// this process started and ended since; without a recent report, only this process's requests.
    pub fn requests(&self, now: Instant, report_age_max: Duration) -> u32 {
        let fresh = self
            .report
            .as_ref()
            .filter(|timed| now.saturating_duration_since(timed.received) <= report_age_max);
        let Some(timed) = fresh else {
            return self.in_flight;
        };
        let load = timed.report.load;
        let others = (load.waiting.saturating_add(load.running)).saturating_sub(timed.in_flight);
        others.saturating_add(self.in_flight)
    }

    pub fn record_failure(&mut self, now: Instant) {
        let doublings = self.failures.min(COOLDOWN_DOUBLINGS_MAX);
        let cooldown_ms = (COOLDOWN_MIN_MS << doublings).min(COOLDOWN_MAX_MS);
        self.failures = self.failures.saturating_add(1);
        self.cooldown_until = Some(now + Duration::from_millis(cooldown_ms));
    }

    /// Halves the failure count, so that a flapping runner regains trust only gradually.
    pub fn record_success(&mut self) {
        self.failures /= 2;
        if self.failures == 0 {
            self.cooldown_until = None;
        }
    }

    pub fn cooling_down(&self, now: Instant) -> bool {
        self.cooldown_until.is_some_and(|until| now < until)
    }

    /// Returns whether a runner that failed already has a request, which serves as its probe.
    pub fn on_probation(&self) -> bool {
        self.failures > 0 && self.in_flight > 0
    }
}
