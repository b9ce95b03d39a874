//! The progress of one request over its attempts.

use {
    super::Refusal,
    crate::{discovery::RunnerKey, http::Body},
    hyper::Response,
};

/// The state of a request after the attempts so far.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// The runners that must not get the request again.
    pub(super) tried: Vec<RunnerKey>,
    /// The number of attempts that reached, or may have reached, a runner.
    pub(super) sent: u32,
    /// The number of attempts in which no byte of the request was sent.
    pub(super) unsent: u32,
    /// Whether a runner may have run the request.
    pub(super) may_have_run: bool,
    /// Whether the next attempt is already counted against the retry budget.
    pub(super) paid: bool,
    /// A runner's failure response, returned if no other attempt succeeds.
    pub(super) failure: Option<Response<Body>>,
}

impl Progress {
    /// Records that the request is about to be sent; returns the state before.
    pub(super) fn leave(&mut self) -> Leaving {
        let before = Leaving {
            may_have_run: self.may_have_run,
        };
        self.sent += 1;
        self.may_have_run = true;
        self.paid = false;
        before
    }

    /// Records that no byte of the request was sent.
    pub(super) fn never_left(&mut self, before: Leaving) {
        self.sent -= 1;
        self.may_have_run = before.may_have_run;
        self.paid = true;
    }

    /// Records the runner's statement that it did not run the request.
    pub(super) fn did_not_run(&mut self, before: Leaving) {
        self.may_have_run = before.may_have_run;
    }

    /// Returns the refusal for a request whose deadline passed.
    pub(super) fn timed_out(&self) -> Refusal {
        match self.may_have_run {
            true => Refusal::TimedOut,
            false => Refusal::not_run(),
        }
    }

    /// Returns the refusal for a request that gets no further attempt.
    pub(super) fn given_up(&self, retry_after_ms: Option<u64>) -> Refusal {
        match (self.may_have_run, retry_after_ms) {
            (true, _) => Refusal::Broken,
            (false, Some(retry_after_ms)) => Refusal::NotRun { retry_after_ms },
            (false, None) => Refusal::not_run(),
        }
    }
}

/// The state of a request before an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct Leaving {
    may_have_run: bool,
}
