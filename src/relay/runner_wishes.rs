//! What runners ask for in the heads of their responses.

use {
    super::{ForwardedCall, ResponseClass, ResponseHead, SentAssignment},
    crate::{dispatch::AttemptOutcome, http::read_retry_after},
    hyper::{Response, StatusCode, body::Incoming},
};

impl ForwardedCall {
    /// Records what a runner wants: to leave, fewer requests, or none for some time.
    pub(super) fn record_wishes(
        &self,
        assignment: &SentAssignment,
        class: ResponseClass,
        fields: &ResponseHead,
        response: &Response<Incoming>,
    ) {
        let is_of_other = match &fields.runner {
            Some(id) => *id != assignment.runner.key.id,
            None => class == ResponseClass::NotRun(AttemptOutcome::WrongRunner),
        };
        if is_of_other {
            return;
        }
        if fields.is_leaving {
            assignment.record_leaving();
        }
        if !class.is_of_runner() {
            return;
        }
        assignment.record_limit(fields.limit);
        assignment.record_brittleness(fields.rejections_per_s);
        let turns_away = matches!(
            response.status(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        if !turns_away {
            return;
        }
        match read_retry_after(response.headers()) {
            Ok(Some(pause)) => assignment.record_pause(pause),
            Ok(None) => {}
            Err(cause) => self
                .relay
                .log_unreadable_pause(&assignment.runner.key, &cause),
        }
    }
}
