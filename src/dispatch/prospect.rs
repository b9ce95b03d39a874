//! Whether a request that has no runner now waits for one.

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

/// The shortest time between two looks at a request that waits.
const LOOK: Duration = Duration::from_millis(20);

/// The shortest time after which a refused caller may come back.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// The share of the time left that a caller waits before it comes back.
const RETRY_SHARE: f64 = 0.3;

/// What becomes of a request that has no runner now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Prospect {
    /// It waits, and is looked at again at the instant.
    Wait(Instant),
    /// It is refused.
    Refuse(Refused),
}

/// A request that has no runner now.
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
    /// Decides whether the request waits.
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

    /// Returns the time until the request is given up.
    pub(super) fn left(&self) -> Duration {
        self.ask.give_up_at.saturating_duration_since(self.now)
    }

    /// Returns the instant at which a share of the request's whole time is over.
    pub(super) fn share_over(&self, share: f64) -> Instant {
        let total = self.ask.give_up_at.saturating_duration_since(self.since);
        self.since + total.mul_f64(share)
    }

    pub(super) fn wait(&self, until: Instant) -> Prospect {
        Prospect::Wait(until.max(self.now + LOOK).min(self.ask.give_up_at))
    }

    /// Refuses the request; a place is expected after the time, if the caller waits as long.
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
