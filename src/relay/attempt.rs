//! One attempt to send a request to a runner.

use {
    super::{
        BeforeSend, ConnectError, FirstWrite, ForwardHead, ForwardedCall, KeepAlive, Refusal,
        ResponseClass, RunnerConnection, SendError, SentAssignment, WithheldCause,
        classify_response, response_head,
    },
    crate::{
        dispatch::{AttemptOutcome, DispatchRequest, PassOn},
        http::Body,
    },
    http_body_util::{BodyExt, Limited},
    hyper::{Request, Response, body::Incoming},
    std::{error::Error, fmt, io, time::Duration},
    tokio::time::{self, Instant},
};

/// The number of attempts without a connection that a request may have before it is refused.
const UNSENT_ATTEMPTS_MAX: u32 = 4;

/// The number of connections in one attempt that may be closed before the request is sent.
const STALE_CONNECTIONS_MAX: usize = 4;

/// The number of heads in one attempt that may get too old before they are sent.
const OLD_HEADS_MAX: usize = 2;

/// The most bytes that are read of a response that is not forwarded.
const DISCARD_MAX_BYTES: usize = 64 * 1024;

/// The longest wait for the rest of a response that is not forwarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(20);

/// A runner's response whose body is not read yet.
#[derive(Debug)]
pub(super) struct RunnerResponse {
    pub(super) assignment: SentAssignment,
    pub(super) connection: RunnerConnection,
    pub(super) keep_alive: KeepAlive,
    pub(super) response: Response<Incoming>,
}

/// The result of an attempt.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// The request was not sent or not run, or the response is not usable.
    NoResponse,
    /// The runner responded with a failure.
    Failure(RunnerResponse),
    /// The runner responded with a success.
    Success(RunnerResponse),
}

impl ForwardedCall {
    /// Sends the request to the next runner, if another attempt is allowed.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller when no further attempt is allowed or no runner is free.
    pub(super) async fn attempt(
        &mut self,
        last_event_id: Option<u64>,
    ) -> Result<AttemptResult, Refusal> {
        self.check_attempt_allowed()?;
        if Instant::now() >= self.call.latest_start() {
            return Err(self.progress.final_refusal(None));
        }
        self.acquire_allowance().await?;
        let wanted = self.dispatch_request();
        let assignment = self.relay.dispatcher.assign(&wanted).await;
        let assignment = assignment.map_err(|refused| self.progress.dispatch_refusal(refused))?;
        let assignment = SentAssignment::new(assignment, self.call.remaining_wait());
        // A late copy of its first response would be taken for the response to the second attempt.
        let key = &assignment.runner.key;
        let may_reuse = !self.progress.tried_runners.contains(key);
        self.progress.tried_runners.push(key.clone());
        let connections_max = self.relay.node_share(self.call.rules.connections_max);
        let mut old_heads = 0;
        for _ in 0..STALE_CONNECTIONS_MAX {
            let pool = &self.relay.pool;
            let acquired = pool.acquire(&assignment.runner, connections_max, may_reuse);
            let mut connection = match acquired.await {
                Ok(connection) => connection,
                Err(ConnectError::NoFreeConnection) => {
                    self.progress.attempts_unsent += 1;
                    assignment.finish(AttemptOutcome::Withheld);
                    return Ok(AttemptResult::NoResponse);
                }
                Err(cause) => {
                    self.log_attempt(
                        &assignment,
                        format_args!("connecting to the runner failed: {cause}"),
                    );
                    break;
                }
            };
            if !connection.is_reused {
                assignment.record_contact();
            }
            // The caller has left if a connection came too late.
            if Instant::now() >= self.call.latest_start() {
                return Err(self.progress.final_refusal(None));
            }
            if assignment.is_quarantined() {
                self.progress.is_quarantined = true;
                return Err(self.progress.final_refusal(None));
            }
            let key = self.relay.key_check(&self.call.rules.caller);
            if let Err(denial) = key.check() {
                assignment.finish(AttemptOutcome::Withheld);
                return Err(self.progress.key_refusal(denial));
            }
            let prepared_at = Instant::now();
            let request = self.runner_request(&assignment, last_event_id);
            let first = FirstWrite {
                prepared_at,
                latest_start: self.call.latest_start(),
                check: assignment.send_check(),
                key,
            };
            let before = self.progress.record_sending();
            let sent = connection.send(request, first);
            let sent = time::timeout_at(self.call.deadline, sent).await;
            match sent {
                Ok(Ok(response)) => {
                    return Ok(self
                        .classify(assignment, connection, response, before)
                        .await);
                }
                Ok(Err(SendError::Unsent)) => self.progress.record_unsent(before),
                Ok(Err(SendError::Withheld(WithheldCause::OldHead))) => {
                    self.progress.record_unsent(before);
                    old_heads += 1;
                    // This node is late, which says nothing about the runner.
                    if old_heads >= OLD_HEADS_MAX {
                        return Ok(self.withdraw(assignment));
                    }
                }
                Ok(Err(SendError::Withheld(WithheldCause::TooLate))) => {
                    self.progress.record_unsent(before);
                    return Err(self.progress.final_refusal(None));
                }
                Ok(Err(SendError::Withheld(WithheldCause::Key(denial)))) => {
                    self.progress.record_unsent(before);
                    assignment.finish(AttemptOutcome::Withheld);
                    return Err(self.progress.key_refusal(denial));
                }
                Ok(Err(SendError::Withheld(WithheldCause::Denied(_)))) => {
                    self.progress.record_unsent(before);
                    return Ok(self.withdraw(assignment));
                }
                Err(_) if connection.withhold() => {
                    self.progress.record_unsent(before);
                    return Err(self.progress.final_refusal(None));
                }
                Err(_) => {
                    self.relay.pool.close_idle(&assignment.runner.key);
                    assignment.finish(AttemptOutcome::Broken);
                    return Err(Refusal::TimedOut);
                }
                Ok(Err(SendError::Interrupted(cause))) => {
                    if is_timeout(&cause) {
                        self.relay.pool.close_idle(&assignment.runner.key);
                    }
                    self.log_attempt(
                        &assignment,
                        format_args!("no response head arrived: {cause}"),
                    );
                    self.relay.probe_end(&assignment.runner);
                    assignment.finish(AttemptOutcome::Broken);
                    return Ok(AttemptResult::NoResponse);
                }
            }
        }
        self.progress.attempts_unsent += 1;
        self.progress.attempts_unreachable += 1;
        assignment.finish(AttemptOutcome::Unreachable);
        Ok(AttemptResult::NoResponse)
    }

    /// Ends an attempt whose runner may not be sent the request any more.
    fn withdraw(&mut self, assignment: SentAssignment) -> AttemptResult {
        self.progress.attempts_unsent += 1;
        self.progress.tried_runners.pop();
        assignment.finish(AttemptOutcome::Withheld);
        AttemptResult::NoResponse
    }

    /// Returns whether another attempt is allowed and still in time for the caller.
    pub(super) fn may_retry(&mut self) -> bool {
        self.check_attempt_allowed().is_ok() && Instant::now() < self.call.latest_start()
    }

    fn check_attempt_allowed(&mut self) -> Result<(), Refusal> {
        let progress = &mut self.progress;
        let rules = &self.call.rules;
        let must_not_repeat = progress.may_have_run && !rules.kind.is_retryable();
        let is_over = progress.is_quarantined
            || progress.lacks_software
            || progress.attempts_unsent > UNSENT_ATTEMPTS_MAX;
        progress.is_out_of_reach |= progress.attempts_unreachable > UNSENT_ATTEMPTS_MAX;
        if must_not_repeat || is_over {
            return Err(progress.final_refusal(None));
        }
        if progress.attempts_sent == 0 {
            return Ok(());
        }
        if progress.attempts_sent >= rules.attempts_max {
            return Err(progress.final_refusal(None));
        }
        if !progress.is_retry_counted && !self.relay.try_retry(&rules.service) {
            return Err(progress.final_refusal(None));
        }
        progress.is_retry_counted = true;
        Ok(())
    }

    fn log_attempt(&self, assignment: &SentAssignment, what: fmt::Arguments<'_>) {
        let key = &assignment.runner.key;
        log::debug!(
            request_id:% = String::from_utf8_lossy(&self.call.head.request_id),
            runner:% = key.id,
            born_unix_ms = key.born_unix_ms,
            service:% = self.call.rules.service;
            "relay: {what}"
        );
    }

    fn dispatch_request(&self) -> DispatchRequest {
        let rules = &self.call.rules;
        DispatchRequest {
            service: rules.service.clone(),
            generation: self.call.head.generation.clone(),
            software: self.software.clone(),
            digest: self.call.digest,
            priority: rules.priority.queue,
            is_urgent: rules.priority.is_urgent,
            target_at: self.call.target_at,
            assign_by: self.call.latest_start(),
            caller_deadline: self.call.deadline,
            tried_runners: self.progress.tried_runners.clone(),
            pass_on: self.pass_on_state(),
        }
    }

    fn pass_on_state(&self) -> PassOn {
        if self.call.is_passed_on {
            return PassOn::Done;
        }
        match self.progress.attempts_sent == 0 && self.relay.has_peers() {
            true => PassOn::Allowed,
            false => PassOn::Impossible,
        }
    }

    fn runner_request(
        &self,
        assignment: &SentAssignment,
        last_event_id: Option<u64>,
    ) -> Request<Body> {
        let call = &self.call;
        let mut request = Request::new(Body::from(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        let forward = ForwardHead {
            runner: assignment.runner.key.clone(),
            deadline_ms: call.left().as_millis() as u64,
            priority: call
                .head
                .generation
                .is_some()
                .then_some(call.rules.priority.runner),
            last_event_id: last_event_id.or(call.head.last_event_id),
            workspace: call.rules.caller.forwarded(),
        };
        let mut headers = call.headers.clone();
        self.relay
            .formats
            .write_forward_headers(&mut headers, &forward);
        *request.headers_mut() = headers;
        request
    }

    /// Determines the result of an attempt from the head of the response.
    async fn classify(
        &mut self,
        assignment: SentAssignment,
        connection: RunnerConnection,
        response: Response<Incoming>,
        before: BeforeSend,
    ) -> AttemptResult {
        let (head, body) = response.into_parts();
        let head_fields = self.relay.formats.read_response_head(&head);
        let response = Response::from_parts(head, body);
        let keep_alive = KeepAlive::read(&response, head_fields.keep_alive_s);
        assignment.record_contact();
        let class = classify_response(&self.call, response.status(), &head_fields, &connection);
        self.record_wishes(&assignment, class, &head_fields, &response);
        let mut runner_response = RunnerResponse {
            assignment,
            connection,
            keep_alive,
            response,
        };
        if response_head::ends_with_connection(&runner_response.response) {
            runner_response.assignment.mark_ends_with_connection();
        }
        match class {
            ResponseClass::Success => AttemptResult::Success(runner_response),
            ResponseClass::Failure => AttemptResult::Failure(runner_response),
            ResponseClass::NotRun(outcome) => {
                self.progress.record_not_run(before);
                runner_response.discard(outcome).await;
                AttemptResult::NoResponse
            }
            ResponseClass::OtherRequest => {
                self.relay
                    .pool
                    .quarantine(&runner_response.connection.runner);
                self.log_attempt(
                    &runner_response.assignment,
                    format_args!("response to another request"),
                );
                runner_response.discard_unusable()
            }
            ResponseClass::Unusable => {
                self.log_attempt(
                    &runner_response.assignment,
                    format_args!("unusable response"),
                );
                runner_response.discard_unusable()
            }
        }
    }
}

impl RunnerResponse {
    /// Ends the assignment and closes the connection.
    fn discard_unusable(self) -> AttemptResult {
        log::debug!(
            "relay: the response of runner {} is not usable",
            self.assignment.runner.key.id
        );
        self.assignment.finish(AttemptOutcome::Broken);
        AttemptResult::NoResponse
    }

    /// Ends the assignment, and keeps the connection if the rest of the response is short.
    pub(super) async fn discard(self, outcome: AttemptOutcome) {
        self.assignment.finish(outcome);
        let body = Limited::new(self.response.into_body(), DISCARD_MAX_BYTES).collect();
        if matches!(time::timeout(DISCARD_TIMEOUT, body).await, Ok(Ok(_))) {
            self.connection.recycle(self.keep_alive);
        }
    }
}

/// Returns whether a connection failed because the other end stopped responding.
fn is_timeout(cause: &hyper::Error) -> bool {
    let cause = cause.source().and_then(|source| source.downcast_ref());
    cause.is_some_and(|cause: &io::Error| cause.kind() == io::ErrorKind::TimedOut)
}
