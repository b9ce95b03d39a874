//! Evaluation of the head of a response, and of a missing response.

use {
    super::{Call, Dispatched, LossCause, RunnerResponse},
    crate::{
        http::{Problem, REQUEST_ID, read_retry_after},
        units::RequestId,
    },
    hyper::{HeaderMap, StatusCode, header},
    std::time::Duration,
};

/// Returns whether the request id of a response is that of another request.
pub(super) fn is_for_other_request(headers: &HeaderMap, id: RequestId) -> bool {
    let Some(found) = headers.get(REQUEST_ID) else {
        return false;
    };
    found.to_str().ok().and_then(|text| text.parse().ok()) != Some(id)
}

/// Returns the `Retry-After` of a response, if the header holds seconds.
pub(super) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    read_retry_after(headers).ok().flatten()
}

/// Builds the problem document for a dispatched request without a usable response.
pub(super) fn loss_problem(call: &Call<Dispatched>, cause: &LossCause) -> Problem {
    match cause {
        LossCause::Failed(detail) => {
            call.problem(StatusCode::BAD_GATEWAY, "connection-lost", detail.clone())
        }
        LossCause::TimedOut => call.problem(
            StatusCode::GATEWAY_TIMEOUT,
            "no-answer-in-time",
            "the backend server did not respond in time",
        ),
    }
}

/// Returns whether a response is an event stream.
pub(super) fn is_event_stream(response: &RunnerResponse) -> bool {
    let headers = response.exchange.response.headers();
    let kind = headers.get(header::CONTENT_TYPE);
    response.exchange.response.status() == StatusCode::OK
        && kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}
