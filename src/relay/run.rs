//! The attempts of one request, up to the begin of the response.

use {
    super::{
        AnswerOutcome, Answered, Call, LiveStream, Progress, Refusal, Relay, Tried, stream_response,
    },
    crate::{dispatch::AttemptOutcome, http::Body},
    hyper::{Response, StatusCode},
    std::sync::Arc,
    tokio::time::{self, Instant},
};

/// A caller's request in progress.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) relay: Arc<Relay>,
    pub(super) call: Call,
    pub(super) progress: Progress,
}

/// The begin of a response for the caller.
#[derive(Debug)]
pub(super) enum Answer {
    /// A response that is not an event stream.
    Plain(Response<Body>),
    /// An event stream whose first events arrived.
    Stream(Response<()>, Box<LiveStream>),
}

impl Run {
    /// Forwards the request and returns the response for the caller.
    pub(super) async fn answer(mut self, arrived_at: Instant) -> Response<Body> {
        self.relay.budget.count_request(&self.call.rules.service);
        let relay = self.relay.clone();
        let ends_at = self.call.ends_at;
        let first = relay.closing.run_until_cancelled(self.first_answer());
        let first = time::timeout_at(ends_at, first).await;
        let kind = self.call.rules.kind;
        let outcome = self.outcome(first.as_ref().ok().and_then(Option::as_ref));
        relay.counts.answered(kind, outcome, arrived_at.elapsed());
        match first.ok().flatten() {
            Some(Ok(Answer::Plain(response))) => response,
            Some(Ok(Answer::Stream(head, live))) => stream_response(self, head, *live),
            Some(Err(refusal)) => self.fail(&refusal),
            None => {
                let refusal = self.progress.timed_out();
                self.fail(&refusal)
            }
        }
    }

    fn outcome(&self, first: Option<&Result<Answer, Refusal>>) -> AnswerOutcome {
        match first {
            Some(Ok(Answer::Stream(..))) => AnswerOutcome::Answered,
            Some(Ok(Answer::Plain(response))) if response.status().is_success() => {
                AnswerOutcome::Answered
            }
            Some(Ok(Answer::Plain(_))) => AnswerOutcome::RunnerFailed,
            _ if self.progress.failure.is_some() => AnswerOutcome::RunnerFailed,
            _ => AnswerOutcome::Refused,
        }
    }

    /// Returns a runner's failure response if there is one, otherwise the refusal.
    fn fail(mut self, refusal: &Refusal) -> Response<Body> {
        match self.progress.failure.take() {
            Some(failure) => failure,
            None => self.relay.refuse(refusal),
        }
    }

    async fn first_answer(&mut self) -> Result<Answer, Refusal> {
        loop {
            match self.attempt(None).await? {
                Tried::Nothing => {}
                Tried::Failure(answered) => {
                    if let Some(answer) = self.take_failure(answered).await {
                        return Ok(answer);
                    }
                }
                Tried::Success(answered) => {
                    if let Some(answer) = self.take_success(answered).await {
                        return Ok(answer);
                    }
                }
            }
        }
    }

    /// Returns a failure response, unless another attempt may succeed.
    async fn take_failure(&mut self, answered: Answered) -> Option<Answer> {
        let status = answered.response.status();
        let failure = answered
            .into_plain(&self.call, AttemptOutcome::Failed)
            .await?;
        let may_do_better = self.call.is_repeatable()
            && status.is_server_error()
            && status != StatusCode::GATEWAY_TIMEOUT
            && self.progress.failure.is_none();
        if may_do_better {
            self.progress.failure = Some(failure);
            return None;
        }
        Some(Answer::Plain(failure))
    }

    async fn take_success(&mut self, mut answered: Answered) -> Option<Answer> {
        if self.call.is_stream() {
            return answered.into_stream(&self.call).await;
        }
        answered.place.heard(self.call.left());
        let response = answered
            .into_plain(&self.call, AttemptOutcome::Complete)
            .await;
        response.map(Answer::Plain)
    }
}
