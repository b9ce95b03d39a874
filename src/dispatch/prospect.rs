//! The decision whether a request without a runner waits or is refused.

use {
    super::{
        Refused,
        service_runners::{Chosen, ServiceRunners},
        wait_queue::Ask,
    },
    crate::traffic::EngineSpec,
    rand::RngExt,
    std::time::Duration,
    tokio::time::Instant,
};

/// The shortest time between two decisions on a waiting request.
const LOOK: Duration = Duration::from_millis(20);

/// The shortest `Retry-After` of a refusal.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// The share of the caller's remaining time that `Retry-After` may take up.
const RETRY_SHARE: f64 = 0.3;

/// The decision on a request that no runner can serve now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Prospect {
    /// The request waits, and is decided on again at this instant.
    Wait(Instant),
    /// The request is refused.
    Refuse(Refused),
}

/// The facts for the decision on a request that no runner can serve now.
#[derive(Debug, Clone, Copy)]
pub(super) struct Case<'a> {
    pub(super) service: &'a ServiceRunners,
    pub(super) engine: Option<&'a EngineSpec>,
    pub(super) ask: &'a Ask,
    pub(super) id: u64,
    pub(super) since: Instant,
    pub(super) now: Instant,
}

impl Case<'_> {
    /// Decides whether the request waits or is refused.
    pub(super) fn prospect(&self, chosen: Chosen) -> Prospect {
        if self.left().is_zero() {
            return self.refuse(Duration::ZERO);
        }
        match chosen {
            Chosen::NoCopy => self.copy_prospect(),
            Chosen::Full(retry_at) => match (self.room_prospect(retry_at), retry_at) {
                (Prospect::Wait(at), Some(retry_at)) => self.wait(at.min(retry_at)),
                (prospect, _) => prospect,
            },
            Chosen::Runner(_) => self.wait(self.now),
        }
    }

    /// Returns the time until the latest instant for an assignment.
    pub(super) fn left(&self) -> Duration {
        self.ask.give_up_at.saturating_duration_since(self.now)
    }

    /// Returns the instant at which a share of the request's total waiting time is over.
    pub(super) fn share_over(&self, share: f64) -> Instant {
        let total = self.ask.give_up_at.saturating_duration_since(self.since);
        self.since + total.mul_f64(share)
    }

    /// Lets the request wait until an instant, within the bounds for rechecks.
    pub(super) fn wait(&self, until: Instant) -> Prospect {
        Prospect::Wait(until.max(self.now + LOOK).min(self.ask.give_up_at))
    }

    /// Refuses the request with a `Retry-After` of the expected time until a slot is free, bounded
    /// by a share of the caller's remaining time.
    pub(super) fn refuse(&self, expected: Duration) -> Prospect {
        let callers_left = self.ask.ends_at.saturating_duration_since(self.now);
        let longest = callers_left.mul_f64(RETRY_SHARE);
        let jitter = rand::rng().random_range(0.85..1.0);
        let after = expected.min(longest).mul_f64(jitter).max(RETRY_MIN);
        Prospect::Refuse(Refused {
            retry_after_ms: after.as_millis() as u64,
        })
    }
}
