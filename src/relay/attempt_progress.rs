//! The progress of one request over its attempts.

use {
    super::{KeyDenial, Refusal},
    crate::{
        discovery::RunnerKey,
        dispatch::{DispatchRefusal, RefusalCause},
        http::Body,
        quotas::{AllowanceRefusal, SpentAllowance},
    },
    hyper::Response,
};

/// The state of a request after the attempts so far.
#[derive(Debug, Default)]
pub(super) struct AttemptProgress {
    /// The runners that must not get the request again.
    pub(super) tried_runners: Vec<RunnerKey>,
    /// The number of attempts that reached, or may have reached, a runner.
    pub(super) attempts_sent: u32,
    /// The number of attempts in which no byte of the request was sent.
    pub(super) attempts_unsent: u32,
    /// The number of attempts whose runner was not reached.
    pub(super) attempts_unreachable: u32,
    /// Whether a runner may have run the request.
    pub(super) may_have_run: bool,
    /// Whether the next attempt is already counted against the retry budget.
    pub(super) is_retry_counted: bool,
    /// Whether the request was quarantined since the request arrived.
    pub(super) is_quarantined: bool,
    /// Whether no ready runner has the software version of the stream.
    pub(super) lacks_software: bool,
    /// Whether this node reached no runner for the request.
    pub(super) is_out_of_reach: bool,
    /// What the request used of its workspace's quota for the present or the last attempt.
    pub(super) allowance: Option<SpentAllowance>,
    /// A runner's failure response, returned if no other attempt succeeds.
    pub(super) failure_response: Option<Response<Body>>,
}

impl AttemptProgress {
    /// Records that the request is about to be sent; returns the state before.
    pub(super) fn record_sending(&mut self) -> BeforeSend {
        let before = BeforeSend {
            may_have_run: self.may_have_run,
        };
        self.attempts_sent += 1;
        self.set_allowance_sent(true);
        self.may_have_run = true;
        self.is_retry_counted = false;
        before
    }

    /// Records that no byte of the request was sent.
    pub(super) fn record_unsent(&mut self, before: BeforeSend) {
        self.attempts_sent -= 1;
        self.may_have_run = before.may_have_run;
        self.is_retry_counted = true;
        self.set_allowance_sent(false);
    }

    /// Records the runner's statement that it did not run the request.
    pub(super) fn record_not_run(&mut self, before: BeforeSend) {
        self.may_have_run = before.may_have_run;
        self.set_allowance_sent(false);
    }

    /// Returns the refusal for a request whose deadline passed.
    pub(super) fn deadline_refusal(&self) -> Refusal {
        match self.may_have_run {
            true => Refusal::TimedOut,
            false => Refusal::not_run(),
        }
    }

    /// Returns the refusal for a request that gets no runner.
    pub(super) fn dispatch_refusal(&mut self, refused: DispatchRefusal) -> Refusal {
        let retry_after_ms = refused.retry_after_ms;
        match refused.cause {
            RefusalCause::NoSoftware => {
                self.lacks_software = true;
                match self.may_have_run {
                    true => Refusal::RunnerFailed,
                    false => Refusal::StreamNotResumable { retry_after_ms },
                }
            }
            RefusalCause::OutOfReach => {
                self.is_out_of_reach = true;
                self.final_refusal(Some(retry_after_ms))
            }
            RefusalCause::NoCapacity => self.final_refusal(Some(retry_after_ms)),
            RefusalCause::Quarantined => {
                self.is_quarantined = true;
                match self.may_have_run {
                    true => Refusal::RunnerFailed,
                    false => Refusal::Quarantined { retry_after_ms },
                }
            }
        }
    }

    /// Returns whether the next attempt needs allowance of the workspace's quota.
    pub(super) fn lacks_allowance(&self) -> bool {
        self.allowance.as_ref().is_none_or(SpentAllowance::is_sent)
    }

    fn set_allowance_sent(&mut self, is_sent: bool) {
        if let Some(allowance) = &mut self.allowance {
            allowance.set_sent(is_sent);
        }
    }

    /// Returns the refusal for a request whose workspace used up its quota.
    pub(super) fn quota_refusal(&self, cause: AllowanceRefusal) -> Refusal {
        match (self.may_have_run, cause) {
            (true, _) => Refusal::RunnerFailed,
            (false, AllowanceRefusal::OverQuota(wait)) => Refusal::OverQuota {
                retry_after_ms: wait.as_millis() as u64,
            },
            (false, AllowanceRefusal::NoAnswer) => Refusal::not_run(),
        }
    }

    /// Returns the refusal for a request whose key is no longer served.
    pub(super) fn key_refusal(&self, denial: KeyDenial) -> Refusal {
        match (self.may_have_run, denial) {
            (true, _) => Refusal::RunnerFailed,
            (false, KeyDenial::Revoked) => Refusal::UnknownKey,
            (false, KeyDenial::OldConfiguration) => Refusal::OldConfiguration,
        }
    }

    /// Returns the refusal for a request that gets no further attempt.
    pub(super) fn final_refusal(&self, retry_after_ms: Option<u64>) -> Refusal {
        match (self.may_have_run, retry_after_ms) {
            (true, _) => Refusal::RunnerFailed,
            (false, Some(retry_after_ms)) => Refusal::NotRun { retry_after_ms },
            (false, None) => Refusal::not_run(),
        }
    }
}

/// The state of a request before an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct BeforeSend {
    may_have_run: bool,
}
