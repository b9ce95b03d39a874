//! The fault switches of a plain service.

use serde::{Deserialize, Serialize};

/// The fault switches of a plain service, all off by default.
///
/// A switch that is a number counts down with each request that it hits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    /// Connections are refused.
    pub down: bool,
    /// Requests are taken but neither run nor answered.
    pub silent: bool,
    /// The service refuses all requests because it is leaving.
    pub leaving: bool,
    /// How long each request takes, in milliseconds.
    pub slow_ms: u64,
    /// Requests whose connection breaks off before they run.
    pub lost_requests: u32,
    /// Requests that run but whose connection breaks off before the answer.
    pub lost_answers: u32,
    /// Requests that run and are answered with status 500.
    pub failed_requests: u32,
    /// Requests that are refused with status 503 without running.
    pub busy_requests: u32,
}

/// What becomes of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestFate {
    Normal,
    Silent,
    Leaving,
    Lost,
    AnswerLost,
    Failed,
    Busy,
}

impl PlainFaults {
    /// Decides what becomes of the next request.
    pub(super) fn take_fate(&mut self) -> RequestFate {
        if self.silent {
            return RequestFate::Silent;
        }
        if self.leaving {
            return RequestFate::Leaving;
        }
        let counted = [
            (&mut self.lost_requests, RequestFate::Lost),
            (&mut self.lost_answers, RequestFate::AnswerLost),
            (&mut self.failed_requests, RequestFate::Failed),
            (&mut self.busy_requests, RequestFate::Busy),
        ];
        for (switch, fate) in counted {
            if *switch > 0 {
                *switch -= 1;
                return fate;
            }
        }
        RequestFate::Normal
    }
}
