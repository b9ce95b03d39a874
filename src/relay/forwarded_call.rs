//! The attempts of one request, up to the begin of the response.

use {
    super::{
        AttemptProgress, AttemptResult, Call, CallerIdentity, Refusal, Relay, ResponseOutcome,
        RunnerResponse, RunnerStream, stream_response,
    },
    crate::{
        dispatch::AttemptOutcome, http::Body, routing::stable_hash, streams::StreamId,
        traffic::SoftwareVersion,
    },
    hyper::{Response, StatusCode},
    std::sync::Arc,
    tokio::time::{self, Instant},
};

/// A caller's request in progress.
#[derive(Debug)]
pub(super) struct ForwardedCall {
    pub(super) relay: Arc<Relay>,
    pub(super) call: Call,
    pub(super) progress: AttemptProgress,
    /// The software version that began the stream, if it is resumed or an event was forwarded.
    pub(super) software: Option<SoftwareVersion>,
}

/// The begin of a response for the caller.
#[derive(Debug)]
pub(super) enum CallerResponse {
    /// A response that is not an event stream.
    Plain(Response<Body>),
    /// An event stream whose first events arrived.
    Stream(Response<()>, Box<RunnerStream>),
}

impl ForwardedCall {
    /// Forwards the request and returns the response for the caller.
    pub(super) async fn respond(mut self, arrived_at: Instant) -> Response<Body> {
        // The node that passed a request on has counted it.
        if !self.call.is_passed_on {
            self.relay.budget.count_request(&self.call.rules.service);
        }
        let relay = self.relay.clone();
        let deadline = self.call.deadline;
        let first = relay
            .end_requests
            .run_until_cancelled(self.first_response());
        let first = time::timeout_at(deadline, first).await;
        let kind = self.call.rules.kind;
        let outcome = self.outcome(first.as_ref().ok().and_then(Option::as_ref));
        relay
            .counters
            .record_response(kind, outcome, arrived_at.elapsed());
        match first.ok().flatten() {
            Some(Ok(CallerResponse::Plain(response))) => {
                let service = &self.call.rules.service;
                relay.usual_times.record(service, arrived_at.elapsed());
                response
            }
            Some(Ok(CallerResponse::Stream(head, live))) => stream_response(self, head, *live),
            Some(Err(refusal)) => self.failure_or_refusal(&refusal),
            None => {
                let refusal = self.progress.deadline_refusal();
                self.failure_or_refusal(&refusal)
            }
        }
    }

    fn outcome(&self, first: Option<&Result<CallerResponse, Refusal>>) -> ResponseOutcome {
        match first {
            Some(Ok(CallerResponse::Stream(..))) => ResponseOutcome::Answered,
            Some(Ok(CallerResponse::Plain(response))) if response.status().is_success() => {
                ResponseOutcome::Answered
            }
            Some(Ok(CallerResponse::Plain(_))) => ResponseOutcome::RunnerFailed,
            _ if self.progress.failure_response.is_some() => ResponseOutcome::RunnerFailed,
            _ => ResponseOutcome::Refused,
        }
    }

    /// Returns a runner's failure response if there is one, otherwise the refusal.
    fn failure_or_refusal(mut self, refusal: &Refusal) -> Response<Body> {
        match self.progress.failure_response.take() {
            Some(failure) => failure,
            None => {
                if let Refusal::StreamNotResumable { .. } = refusal {
                    self.log_not_resumed();
                }
                let mut response = self.relay.refuse(refusal);
                // Another node is asked after this mark: no runner may have got the request.
                if self.progress.attempts_sent == 0 {
                    self.relay.mark_out_of_reach(&self.call, &mut response);
                }
                response
            }
        }
    }

    fn log_not_resumed(&self) {
        let stream = self.call.resumed_stream();
        let stream = stream.map_or_else(String::new, |stream| stream.to_string());
        let software = self.software.as_ref().map_or("", SoftwareVersion::as_str);
        log::info!(
            request_id:% = String::from_utf8_lossy(&self.call.head.request_id),
            stream:% = stream,
            software:% = software;
            "relay: a stream is not resumed."
        );
    }

    /// Gets allowance of the workspace's quota for the next attempt, unless it has some.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the quota is used up.
    pub(super) async fn acquire_allowance(&mut self) -> Result<(), Refusal> {
        let Some(quotas) = self.relay.quotas.get() else {
            return Ok(());
        };
        let CallerIdentity::Workspace { workspace, .. } = &self.call.rules.caller else {
            return Ok(());
        };
        // The node that passed a request on has counted its first attempt.
        let is_counted = self.call.is_passed_on && self.progress.attempts_sent == 0;
        let Some(quota) = workspace.quota.filter(|_| !is_counted) else {
            return Ok(());
        };
        if self.progress.lacks_allowance() {
            let amount = quota.unit.amount(self.call.head.stated_tokens);
            let acquired = quotas.acquire(&workspace.name, amount).await;
            let acquired = acquired.map_err(|cause| self.progress.quota_refusal(cause))?;
            self.progress.allowance = Some(acquired);
            let request_id = String::from_utf8_lossy(&self.call.head.request_id);
            let draw = stable_hash(&request_id) as f64 / u64::MAX as f64;
            if self.progress.attempts_sent == 0 && quotas.is_excess(&workspace.name, draw) {
                self.call.rules.priority = self.call.rules.priority_beyond_share;
            }
        }
        Ok(())
    }

    /// Requires the software version at which a stream began that the caller resumes.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the version is not known.
    async fn require_software(&mut self) -> Result<(), Refusal> {
        if !self.call.is_resumed() {
            return Ok(());
        }
        let streams = self.relay.dispatcher.streams();
        let stream = self.call.resumed_stream();
        self.software = streams.find(&self.call.rules.service, stream).await;
        match self.software {
            Some(_) => Ok(()),
            None => Err(Refusal::unknown_stream()),
        }
    }

    /// Records that the stream's first event is about to be forwarded.
    pub(super) fn record_begin(&mut self, software: &SoftwareVersion) {
        self.software = Some(software.clone());
        if !self.call.is_retryable() {
            return;
        }
        let stream = match self.call.is_resumed() {
            true => self.call.resumed_stream(),
            false => StreamId::of(&self.call.head.request_id),
        };
        if let Some(stream) = stream {
            let streams = self.relay.dispatcher.streams();
            streams.record_begin(stream, &self.call.rules.service, software);
        }
    }

    async fn first_response(&mut self) -> Result<CallerResponse, Refusal> {
        match self.first_attempts().await {
            Err(refusal) if self.may_pass_on() => self.pass_on(refusal).await,
            response => response,
        }
    }

    /// Returns whether another node may serve the request, as this one reached no runner for it.
    fn may_pass_on(&self) -> bool {
        let progress = &self.progress;
        !self.call.is_passed_on
            && progress.is_out_of_reach
            && !progress.may_have_run
            && progress.attempts_sent == 0
    }

    async fn first_attempts(&mut self) -> Result<CallerResponse, Refusal> {
        self.acquire_allowance().await?;
        self.require_software().await?;
        loop {
            match self.attempt(None).await? {
                AttemptResult::NoResponse => {}
                AttemptResult::Failure(runner_response) => {
                    if let Some(caller_response) = self.handle_failure(runner_response).await {
                        return Ok(caller_response);
                    }
                }
                AttemptResult::Success(runner_response) => {
                    if let Some(caller_response) = self.handle_success(runner_response).await {
                        return Ok(caller_response);
                    }
                }
            }
        }
    }

    /// Returns a failure response, unless another attempt may succeed.
    async fn handle_failure(&mut self, runner_response: RunnerResponse) -> Option<CallerResponse> {
        let status = runner_response.response.status();
        let runner = runner_response.assignment.runner.clone();
        let failure = runner_response
            .into_plain(&self.call, &self.relay.end_requests, AttemptOutcome::Failed)
            .await;
        let Some(failure) = failure else {
            self.relay.probe_end(&runner);
            return None;
        };
        let should_retry = self.call.is_retryable()
            && status.is_server_error()
            && status != StatusCode::GATEWAY_TIMEOUT
            && self.progress.failure_response.is_none();
        if should_retry {
            self.progress.failure_response = Some(failure);
            return None;
        }
        Some(CallerResponse::Plain(failure))
    }

    async fn handle_success(
        &mut self,
        mut runner_response: RunnerResponse,
    ) -> Option<CallerResponse> {
        let runner = runner_response.assignment.runner.clone();
        let response = if self.call.is_stream() {
            runner_response.into_stream(&self.call).await
        } else {
            runner_response.assignment.record_progress(self.call.left());
            let response = runner_response
                .into_plain(
                    &self.call,
                    &self.relay.end_requests,
                    AttemptOutcome::Complete,
                )
                .await;
            response.map(CallerResponse::Plain)
        };
        if response.is_none() {
            self.relay.probe_end(&runner);
        }
        response
    }
}
