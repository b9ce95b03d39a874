//! How far the tries of one request have come.

use {
    super::Refusal,
    crate::{discovery::RunnerKey, http::Body},
    hyper::Response,
};

/// What is known of the tries of a request so far.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Runners that must not get it again.
    pub(super) tried: Vec<RunnerKey>,
    /// Tries that reached, or may have reached, a runner.
    pub(super) sent: u32,
    /// Tries that never left.
    pub(super) unsent: u32,
    /// Whether a runner may have run it.
    pub(super) may_have_run: bool,
    /// Whether the next try is already paid for from the budget.
    pub(super) paid: bool,
    /// A failure that a runner answered with, in case no other try does better.
    pub(super) failure: Option<Response<Body>>,
}

impl Progress {
    /// Notes that a request is about to leave; returns what was known before.
    pub(super) fn leave(&mut self) -> Leaving {
        let before = Leaving {
            may_have_run: self.may_have_run,
        };
        self.sent += 1;
        self.may_have_run = true;
        self.paid = false;
        before
    }

    /// Notes that not a byte of the request left.
    pub(super) fn never_left(&mut self, before: Leaving) {
        self.sent -= 1;
        self.may_have_run = before.may_have_run;
        self.paid = true;
    }

    /// Notes the runner's word that it did not run the request.
    pub(super) fn did_not_run(&mut self, before: Leaving) {
        self.may_have_run = before.may_have_run;
    }

    /// Returns the refusal for a request whose time is over.
    pub(super) fn timed_out(&self) -> Refusal {
        match self.may_have_run {
            true => Refusal::TimedOut,
            false => Refusal::not_run(),
        }
    }

    /// Returns the refusal for a request that gets no further try.
    pub(super) fn given_up(&self, retry_after_ms: Option<u64>) -> Refusal {
        match (self.may_have_run, retry_after_ms) {
            (true, _) => Refusal::Broken,
            (false, Some(retry_after_ms)) => Refusal::NotRun { retry_after_ms },
            (false, None) => Refusal::not_run(),
        }
    }
}

/// What was known of a request before a try.
#[derive(Debug, Clone, Copy)]
pub(super) struct Leaving {
    may_have_run: bool,
}
