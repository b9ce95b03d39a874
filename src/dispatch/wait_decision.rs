//! The decision whether a request without a runner waits or is refused.

use {
    super::{
        DispatchRefusal, RefusalCause,
        draws::draws,
        service_runners::{Selection, ServiceRunners},
        wait_queue::RequestProfile,
    },
    crate::traffic::EngineSpec,
    rand::RngExt,
    std::time::Duration,
    tokio::time::Instant,
};

/// The shortest time between two decisions on a waiting request.
const RECHECK_INTERVAL_MIN: Duration = Duration::from_millis(20);

/// The shortest `Retry-After` of a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// The share of the caller's remaining time that `Retry-After` may take up.
const RETRY_AFTER_SHARE_MAX: f64 = 0.3;

/// The longest rest of a pause for which a request waits.
const PAUSE_WAIT_MAX: Duration = Duration::from_millis(250);

/// The shortest time over which callers come back after a pause.
const PAUSE_SPREAD_MIN: Duration = Duration::from_millis(300);

/// The time over which callers come back after a pause, relative to the rest of it.
const PAUSE_SPREAD_SHARE: f64 = 0.25;

/// The decision on a request that no runner can serve now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitDecision {
    /// The request waits, and is decided on again at this instant.
    Wait(Instant),
    /// The request is refused.
    Refuse(DispatchRefusal),
}

/// The facts for the decision on a request that no runner can serve now.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitContext<'a> {
    pub(super) service: &'a ServiceRunners,
    pub(super) engine: Option<&'a EngineSpec>,
    pub(super) profile: &'a RequestProfile,
    pub(super) id: u64,
    pub(super) queued_at: Instant,
    pub(super) now: Instant,
}

impl WaitContext<'_> {
    /// Decides whether the request waits or is refused.
    pub(super) fn decide(&self, selection: Selection) -> WaitDecision {
        if self.time_left().is_zero() {
            return self.refuse(Duration::ZERO);
        }
        match selection {
            // Orders to load a model do not choose a software version.
            Selection::NoCopy if self.profile.software.is_some() => {
                WaitDecision::Refuse(DispatchRefusal::NO_SOFTWARE)
            }
            Selection::NoCopy => self.decide_copy_wait(),
            Selection::NoCapacity(retry_at) => {
                match (self.decide_capacity_wait(retry_at), retry_at) {
                    (WaitDecision::Wait(at), Some(retry_at)) => self.wait_until(at.min(retry_at)),
                    (decision, _) => decision,
                }
            }
            Selection::Limited(from) => self.decide_limit_wait(from),
            Selection::Paused(until) => self.decide_pause_wait(until),
            Selection::OutOfReach => WaitDecision::Refuse(DispatchRefusal::OUT_OF_REACH),
            Selection::Runner(_) => self.wait_until(self.now),
        }
    }

    /// Decides whether the request waits for this node's share of a runner's limit: only the first
    /// request for a model does, if it would be in time.
    fn decide_limit_wait(&self, from: Option<Instant>) -> WaitDecision {
        let latest = self.profile.target_at.min(self.profile.assign_by);
        match from {
            Some(at) if at <= latest && self.requests_ahead() == 0 => self.wait_until(at),
            Some(at) => self.refuse(at.saturating_duration_since(self.now)),
            None => self.refuse(Duration::from_millis(
                DispatchRefusal::DEFAULT_RETRY.retry_after_ms,
            )),
        }
    }

    /// Decides whether the request waits for the end of a pause that runners asked for: only if it
    /// is soon and in time.
    ///
    /// The `Retry-After` of a refusal is never shorter than the pause, and spread beyond it, so that
    /// callers don't come back all at once.
    fn decide_pause_wait(&self, until: Instant) -> WaitDecision {
        let latest = self.profile.target_at.min(self.profile.assign_by);
        let pause = until.saturating_duration_since(self.now);
        if until <= latest && pause <= PAUSE_WAIT_MAX {
            return self.wait_until(until);
        }
        let spread = PAUSE_SPREAD_MIN.max(pause.mul_f64(PAUSE_SPREAD_SHARE));
        let spread = spread.mul_f64(draws().random_range(0.0..1.0));
        let retry_after = (pause + spread).max(RETRY_AFTER_MIN);
        WaitDecision::Refuse(DispatchRefusal {
            // Rounded up, so that the caller doesn't come back within the pause.
            retry_after_ms: retry_after.as_millis() as u64 + 1,
            cause: RefusalCause::NoCapacity,
        })
    }

    /// Returns the time until the latest instant for an assignment.
    pub(super) fn time_left(&self) -> Duration {
        self.profile.assign_by.saturating_duration_since(self.now)
    }

    /// Returns the instant at which a share of the request's total waiting time is over.
    pub(super) fn share_elapsed_at(&self, share: f64) -> Instant {
        let total = self
            .profile
            .assign_by
            .saturating_duration_since(self.queued_at);
        self.queued_at + total.mul_f64(share)
    }

    /// Lets the request wait until an instant, within the bounds for rechecks.
    pub(super) fn wait_until(&self, until: Instant) -> WaitDecision {
        WaitDecision::Wait(
            until
                .max(self.now + RECHECK_INTERVAL_MIN)
                .min(self.profile.assign_by),
        )
    }

    /// Refuses the request with a `Retry-After` of the expected time until a slot is free, bounded
    /// by a share of the caller's remaining time.
    pub(super) fn refuse(&self, expected: Duration) -> WaitDecision {
        let caller_time_left = self
            .profile
            .caller_deadline
            .saturating_duration_since(self.now);
        let longest = caller_time_left.mul_f64(RETRY_AFTER_SHARE_MAX);
        let jitter = draws().random_range(0.85..1.0);
        let retry_after = expected.min(longest).mul_f64(jitter).max(RETRY_AFTER_MIN);
        WaitDecision::Refuse(DispatchRefusal {
            retry_after_ms: retry_after.as_millis() as u64,
            cause: RefusalCause::NoCapacity,
        })
    }
}
