//! One attempt to send a request to a runner.

use {
    super::{
        ForwardHead, Keep, Leaving, Refusal, Run, RunnerConnection, SendFault, SentPlace, Verdict,
        verdict,
    },
    crate::{
        dispatch::{AttemptOutcome, DispatchRequest},
        http::Body,
    },
    http_body_util::BodyExt,
    hyper::{Request, Response, body::Incoming},
    std::{error::Error, fmt, io, time::Duration},
    tokio::time::{self, Instant},
};

/// The number of attempts without a connection that a request may have before it is refused.
const UNSENT_MAX: u32 = 4;

/// The number of connections in one attempt that may be closed before the request is sent.
const STALE_MAX: usize = 4;

/// The longest wait for the rest of a response that is not forwarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(20);

/// A runner's response whose body is not read yet.
#[derive(Debug)]
pub(super) struct Answered {
    pub(super) place: SentPlace,
    pub(super) connection: RunnerConnection,
    pub(super) keep: Keep,
    pub(super) response: Response<Incoming>,
}

/// The result of an attempt.
#[derive(Debug)]
pub(super) enum Tried {
    /// The request was not sent or not run, or the response is not usable.
    Nothing,
    /// The runner responded with a failure.
    Failure(Answered),
    /// The runner responded with a success.
    Success(Answered),
}

impl Run {
    /// Sends the request to the next runner, if another attempt is allowed.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller when no further attempt is allowed or no runner is free.
    pub(super) async fn attempt(&mut self, last_event_id: Option<u64>) -> Result<Tried, Refusal> {
        self.check_further_try()?;
        let wanted = self.wanted();
        let place = self.relay.dispatcher.assign(&wanted).await;
        let place =
            place.map_err(|refused| self.progress.given_up(Some(refused.retry_after_ms)))?;
        let place = SentPlace::new(place, self.call.patience());
        self.progress.tried.push(place.runner.key.clone());
        let connections_max = self.relay.share_of(self.call.rules.connections_max);
        for _ in 0..STALE_MAX {
            let pool = &self.relay.pool;
            let mut connection = match pool.connection(&place.runner, connections_max).await {
                Ok(connection) => connection,
                Err(cause) => {
                    self.log_try(
                        &place,
                        format_args!("connecting to the runner failed: {cause}"),
                    );
                    break;
                }
            };
            let request = self.request(&place, last_event_id);
            let before = self.progress.leave();
            let sent = time::timeout_at(self.call.ends_at, connection.send(request)).await;
            match sent {
                Ok(Ok(response)) => {
                    return Ok(self.judge(place, connection, response, before).await);
                }
                Ok(Err(SendFault::Unsent)) => self.progress.never_left(before),
                Err(_) => {
                    self.relay.pool.close_idle(&place.runner.key);
                    place.finish(AttemptOutcome::Broken);
                    return Err(Refusal::TimedOut);
                }
                Ok(Err(SendFault::Broken(cause))) => {
                    if went_silent(&cause) {
                        self.relay.pool.close_idle(&place.runner.key);
                    }
                    self.log_try(&place, format_args!("no response head arrived: {cause}"));
                    place.finish(AttemptOutcome::Broken);
                    return Ok(Tried::Nothing);
                }
            }
        }
        self.progress.unsent += 1;
        place.finish(AttemptOutcome::Unreachable);
        Ok(Tried::Nothing)
    }

    /// Returns whether another attempt is allowed and still in time for the caller.
    pub(super) fn may_wait(&mut self) -> bool {
        self.check_further_try().is_ok() && Instant::now() < self.call.give_up_at()
    }

    fn check_further_try(&mut self) -> Result<(), Refusal> {
        let progress = &mut self.progress;
        let rules = &self.call.rules;
        let forbidden = progress.may_have_run && !rules.kind.is_repeatable();
        if forbidden || progress.unsent > UNSENT_MAX {
            return Err(progress.given_up(None));
        }
        if progress.sent == 0 {
            return Ok(());
        }
        if progress.sent >= rules.attempts_max {
            return Err(progress.given_up(None));
        }
        if !progress.paid && !self.relay.may_repeat(&rules.service) {
            return Err(progress.given_up(None));
        }
        progress.paid = true;
        Ok(())
    }

    fn log_try(&self, place: &SentPlace, what: fmt::Arguments<'_>) {
        let key = &place.runner.key;
        log::debug!(
            request_id:% = String::from_utf8_lossy(&self.call.head.request_id),
            runner:% = key.id,
            born_unix_ms = key.born_unix_ms,
            service:% = self.call.rules.service;
            "relay: {what}"
        );
    }

    fn wanted(&self) -> DispatchRequest {
        let rules = &self.call.rules;
        DispatchRequest {
            service: rules.service.clone(),
            generation: self.call.head.generation.clone(),
            priority: rules.priority,
            target_at: self.call.target_at,
            assign_by: self.call.give_up_at(),
            caller_deadline: self.call.ends_at,
            tried_runners: self.progress.tried.clone(),
        }
    }

    fn request(&self, place: &SentPlace, last_event_id: Option<u64>) -> Request<Body> {
        let call = &self.call;
        let mut request = Request::new(Body::from(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        let forward = ForwardHead {
            runner: place.runner.key.clone(),
            deadline_ms: call.left().as_millis() as u64,
            priority: call.head.generation.is_some().then_some(place.priority),
            last_event_id: last_event_id.or(call.head.last_event_id),
        };
        let mut headers = call.headers.clone();
        self.relay.formats.write_forward(&mut headers, &forward);
        *request.headers_mut() = headers;
        request
    }

    /// Determines the result of an attempt from the head of the response.
    async fn judge(
        &mut self,
        place: SentPlace,
        connection: RunnerConnection,
        response: Response<Incoming>,
        before: Leaving,
    ) -> Tried {
        let (head, body) = response.into_parts();
        let answer = self.relay.formats.read_answer(&head);
        let response = Response::from_parts(head, body);
        let keep = Keep::read(&response, answer.keep_alive_s);
        let verdict = verdict(&self.call, response.status(), &answer, &connection);
        let answered = Answered {
            place,
            connection,
            keep,
            response,
        };
        match verdict {
            Verdict::Success => Tried::Success(answered),
            Verdict::Failure => Tried::Failure(answered),
            Verdict::NotRun(outcome) => {
                self.progress.did_not_run(before);
                answered.discard(outcome).await;
                Tried::Nothing
            }
            Verdict::Stray => {
                self.relay.pool.distrust(&answered.connection.runner);
                self.log_try(&answered.place, format_args!("response to another request"));
                answered.unusable()
            }
            Verdict::Unusable => {
                self.log_try(&answered.place, format_args!("unusable response"));
                answered.unusable()
            }
        }
    }
}

impl Answered {
    /// Ends the assignment and closes the connection.
    fn unusable(self) -> Tried {
        log::debug!(
            "relay: the response of runner {} is not usable",
            self.place.runner.key.id
        );
        self.place.finish(AttemptOutcome::Broken);
        Tried::Nothing
    }

    /// Ends the assignment, and keeps the connection if the rest of the response is short.
    pub(super) async fn discard(self, outcome: AttemptOutcome) {
        self.place.finish(outcome);
        let body = self.response.into_body().collect();
        if matches!(time::timeout(DISCARD_TIMEOUT, body).await, Ok(Ok(_))) {
            self.connection.recycle(self.keep);
        }
    }
}

/// Returns whether a connection failed because the other end stopped responding.
fn went_silent(cause: &hyper::Error) -> bool {
    let cause = cause.source().and_then(|source| source.downcast_ref());
    cause.is_some_and(|cause: &io::Error| cause.kind() == io::ErrorKind::TimedOut)
}
