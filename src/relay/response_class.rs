//! Classification of runners' responses by their heads.

use {
    super::{Call, ResponseHead, RunnerConnection},
    crate::dispatch::AttemptOutcome,
    hyper::StatusCode,
};

/// The class of a runner's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseClass {
    /// The runner states that the request did not run.
    NotRun(AttemptOutcome),
    /// The response may belong to an earlier request on the same connection.
    OtherRequest,
    /// The response must not be forwarded, and the request may have run.
    Unusable,
    /// The runner's failure may be forwarded.
    Failure,
    /// The runner's success may be forwarded.
    Success,
}

impl ResponseClass {
    /// Returns whether the response is the runner's, and not one to another request or unusable.
    pub(super) fn is_of_runner(self) -> bool {
        match self {
            Self::NotRun(_) | Self::Failure | Self::Success => true,
            Self::OtherRequest | Self::Unusable => false,
        }
    }
}

/// Classifies a response by its head.
pub(super) fn classify_response(
    call: &Call,
    status: StatusCode,
    response: &ResponseHead,
    connection: &RunnerConnection,
) -> ResponseClass {
    let is_for_call = match &response.request_id {
        Some(id) => *id == call.head.request_id,
        // Only a reused connection can carry a response to an earlier request.
        None => !connection.is_reused && !status.is_success(),
    };
    if !is_for_call && connection.is_reused {
        return ResponseClass::OtherRequest;
    }
    if !is_for_call || status.is_informational() {
        return ResponseClass::Unusable;
    }
    let is_failure = status.is_client_error() || status.is_server_error();
    if status == StatusCode::MISDIRECTED_REQUEST || response.not_executed && is_failure {
        let other = response
            .runner
            .as_ref()
            .is_some_and(|id| *id != connection.runner.id);
        return ResponseClass::NotRun(refusal_outcome(call, status, other));
    }
    if status.is_success() {
        return match response.is_signed {
            true => ResponseClass::Success,
            false => ResponseClass::Unusable,
        };
    }
    match !call.is_retryable() && promises_not_run(status) {
        true => ResponseClass::Unusable,
        false => ResponseClass::Failure,
    }
}

fn refusal_outcome(call: &Call, status: StatusCode, other_runner: bool) -> AttemptOutcome {
    match status {
        StatusCode::MISDIRECTED_REQUEST if other_runner => AttemptOutcome::WrongRunner,
        StatusCode::MISDIRECTED_REQUEST if call.head.generation.is_some() => AttemptOutcome::Absent,
        StatusCode::MISDIRECTED_REQUEST => AttemptOutcome::WrongRunner,
        _ => AttemptOutcome::Shed,
    }
}

/// Returns whether callers treat a status as a guarantee that the request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
