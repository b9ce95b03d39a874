//! Resumes a failed stream over another connection.

use {
    super::{EngineStream, Phase, StreamError, StreamRelay},
    crate::{
        entry::{Idempotent, RunnerAttempts, RunnerResponse},
        http::{Outcome, Problem},
    },
    hyper::StatusCode,
    rand::RngExt,
    std::time::Duration,
    tokio::time,
};

/// The most consecutive resumptions of a stream without a new token.
const RESUMPTIONS_WITHOUT_TOKEN_MAX: u32 = 3;

/// The longest delay before the first resumption; it grows with each resumption without a new token.
const RESUME_DELAY_MAX: Duration = Duration::from_millis(20);

impl StreamRelay {
    /// Drops the connection and requests the remainder of the stream over another one.
    pub(super) async fn resume(&mut self, error: StreamError) {
        let Some(engine_stream) = self.engine_stream.take() else {
            return;
        };
        let runner = engine_stream.in_flight.runner().clone();
        log::debug!(
            "entry: stream {} of runner {runner} failed: {error:?}",
            self.request.id
        );
        metrics::counter!("ggt_stream_breaks_total").increment(1);
        if matches!(error, StreamError::TimedOut) {
            self.entry.record_runner_failure(&runner);
            self.entry
                .client
                .close_idle(engine_stream.connection.address());
        }
        let call = engine_stream.call;
        drop(engine_stream.connection);
        let resumable = self.validator.is_numbered() && engine_stream.resumable;
        self.resumptions_without_token += 1;
        if self.resumptions_without_token > RESUMPTIONS_WITHOUT_TOKEN_MAX
            || (self.validator.delivered() > 0 && !resumable)
        {
            self.fail(call.problem(StatusCode::BAD_GATEWAY, "stream-lost", error.to_string()));
            return;
        }
        time::sleep(resume_delay(self.resumptions_without_token)).await;
        let after = (self.validator.delivered() > 0).then(|| self.validator.last_event_id());
        let mut attempts = RunnerAttempts::new(&self.entry, &self.request);
        attempts.avoid_runner(runner);
        let resumed = attempts
            .run(call.retry(Idempotent::inference()), after)
            .await;
        match resumed {
            Ok(response) => self.continue_with(response),
            Err(problem) => self.fail(problem),
        }
    }

    fn continue_with(&mut self, response: RunnerResponse) {
        let status = response.exchange.response.status();
        let engine_stream = EngineStream::new(response);
        if status != StatusCode::OK || (self.validator.delivered() > 0 && !engine_stream.resumable)
        {
            let detail = "the stream cannot be resumed";
            let problem =
                engine_stream
                    .call
                    .problem(StatusCode::BAD_GATEWAY, "stream-lost", detail);
            self.fail(problem);
            return;
        }
        if engine_stream.resumable {
            self.validator.require_ids();
        }
        self.validator
            .set_tokens_per_event(engine_stream.tokens_per_event);
        self.engine_stream = Some(engine_stream);
    }

    fn fail(&mut self, problem: Problem) {
        metrics::counter!("ggt_streams_lost_total").increment(1);
        self.phase = Phase::Failed(Problem {
            outcome: Outcome::Unknown,
            ..problem
        });
    }
}

/// Returns a random delay before a resumption.
fn resume_delay(resumptions_without_token: u32) -> Duration {
    let longest = RESUME_DELAY_MAX * resumptions_without_token;
    longest.mul_f64(rand::rng().random())
}
