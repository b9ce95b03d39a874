//! Sends an inference request to runners until one of them responds or the attempts are exhausted.

use {
    super::{InferenceRequest, parse_load},
    crate::{
        entry::{
            Call, DispatchError, Dispatchable, Dispatched, Entry, EventId, Idempotent, LossCause,
            is_for_other_request, loss_problem, retry_after,
        },
        http::{ENGINE_LEAVING, ENGINE_LOAD, Exchange, Problem, discard_body, has_header},
        routing::{InFlightGuard, RunnerChoice},
        units::RunnerName,
    },
    hyper::{HeaderMap, StatusCode},
    std::{net::SocketAddr, time::Duration},
    tokio::time::{self, Instant},
};

/// The most attempts of one request, or of one resumption of its stream.
const ATTEMPTS_MAX: u32 = 4;

/// The `Retry-After` for the caller when no engine sent one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A response of a runner whose body has not been read yet.
#[derive(Debug)]
pub(in crate::entry) struct RunnerResponse {
    pub(in crate::entry) call: Call<Dispatched>,
    pub(in crate::entry) exchange: Exchange,
    pub(in crate::entry) in_flight: InFlightGuard,
}

/// The attempts to get a response to one request.
pub(in crate::entry) struct RunnerAttempts<'a> {
    pub(in crate::entry) entry: &'a Entry,
    pub(in crate::entry) request: &'a InferenceRequest,
    pub(in crate::entry) tried: Vec<RunnerName>,
    failed_attempts: u32,
    retry_after: Option<Duration>,
}

impl<'a> RunnerAttempts<'a> {
    /// Creates the attempts of a request, none of which has been made.
    pub(in crate::entry) fn new(entry: &'a Entry, request: &'a InferenceRequest) -> Self {
        Self {
            entry,
            request,
            tried: Vec::new(),
            failed_attempts: 0,
            retry_after: None,
        }
    }

    /// Excludes a runner as long as there are others to choose from.
    pub(in crate::entry) fn avoid_runner(&mut self, runner: RunnerName) {
        self.tried.push(runner);
    }

    /// Sends the request to one runner after another until one responds; `after` resumes a stream
    /// behind that event.
    ///
    /// # Errors
    ///
    /// Returns the problem document for the caller.
    pub(in crate::entry) async fn run(
        &mut self,
        mut call: Call<Dispatchable>,
        after: Option<EventId>,
    ) -> Result<RunnerResponse, Problem> {
        loop {
            let Some(choice) = self.choose_or_wait().await else {
                return Err(self.no_runner_problem(&call));
            };
            let RunnerChoice {
                runner, address, ..
            } = choice;
            self.tried.push(runner.clone());
            let in_flight = self.entry.load_tracker.start_request(&runner);
            let request = self.request.to_engine(address, after);
            let limit = self.head_timeout();
            let sent = call
                .dispatch(&self.entry.client, address, request, limit)
                .await;
            call = match sent {
                Ok((call, exchange)) => {
                    let response = RunnerResponse {
                        call,
                        exchange,
                        in_flight,
                    };
                    match self.classify_response(response).await? {
                        ClassifiedResponse::Accepted(response) => return Ok(*response),
                        ClassifiedResponse::Retry(call) => call,
                    }
                }
                Err(DispatchError::Unsent(call, cause)) => {
                    log::debug!("entry: runner {runner} cannot be reached: {cause}");
                    self.entry.record_runner_failure(&runner);
                    call
                }
                Err(DispatchError::Lost(call, cause)) => {
                    self.handle_loss(call, &runner, address, cause).await?
                }
            };
            if !self.record_failed_attempt() {
                return Err(self.no_runner_problem(&call));
            }
        }
    }

    /// Returns the longest wait for a response head.
    ///
    /// Without streaming, an engine sends the head only once the whole response is generated.
    fn head_timeout(&self) -> Duration {
        let settings = &self.entry.settings;
        Duration::from_millis(match self.request.stream {
            true => settings.first_token_timeout_ms,
            false => settings.whole_answer_timeout_ms,
        })
    }

    /// Counts a failed attempt; returns whether another one is allowed.
    pub(in crate::entry) fn record_failed_attempt(&mut self) -> bool {
        self.failed_attempts += 1;
        self.failed_attempts < ATTEMPTS_MAX
    }

    /// Decides by the head of a response whether it is for the caller; otherwise, waits out the retry
    /// delay, if a retry is allowed.
    async fn classify_response(
        &mut self,
        response: RunnerResponse,
    ) -> Result<ClassifiedResponse, Problem> {
        let runner = response.in_flight.runner().clone();
        let address = response.exchange.connection.address();
        let headers = response.exchange.response.headers().clone();
        self.record_engine_headers(&runner, &headers);
        if is_for_other_request(&headers, self.request.id) {
            metrics::counter!("ggt_foreign_answers_total").increment(1);
            let cause = LossCause::Failed("the response is for another request".to_owned());
            let call = self.handle_loss(response.call, &runner, address, cause);
            return Ok(ClassifiedResponse::Retry(call.await?));
        }
        let status = response.exchange.response.status();
        let RunnerResponse {
            call,
            exchange,
            in_flight,
        } = response;
        match call.into_not_run(&headers) {
            Ok(call) => {
                self.retry_after = retry_after(&headers).or(self.retry_after);
                self.entry
                    .load_tracker
                    .record_failure(&runner, Instant::now());
                discard_body(exchange).await;
                self.handle_refusal(call, &headers, status).await
            }
            Err(call) if status.is_server_error() => {
                let cause = LossCause::Failed(format!("the engine responded with status {status}"));
                discard_body(exchange).await;
                let call = self.handle_loss(call, &runner, address, cause).await?;
                Ok(ClassifiedResponse::Retry(call))
            }
            Err(call) => {
                self.entry.load_tracker.record_success(&runner);
                Ok(ClassifiedResponse::Accepted(Box::new(RunnerResponse {
                    call,
                    exchange,
                    in_flight,
                })))
            }
        }
    }

    /// Records the load and the leaving of an engine as reported in response headers.
    fn record_engine_headers(&self, runner: &RunnerName, headers: &HeaderMap) {
        let load = headers.get(ENGINE_LOAD).and_then(|text| text.to_str().ok());
        if let Some(load) = load.and_then(parse_load) {
            self.entry
                .load_tracker
                .record_report(runner, load, Instant::now());
        }
        if has_header(headers, ENGINE_LEAVING, "yes") {
            let incarnation = self.entry.routes.current().incarnation(runner);
            self.entry
                .record_leaving_runner(runner, incarnation.unwrap_or_default());
        }
    }

    /// Returns the call for another attempt after a runner refused the request without running it.
    async fn handle_refusal(
        &mut self,
        call: Call<Dispatchable>,
        headers: &HeaderMap,
        status: StatusCode,
    ) -> Result<ClassifiedResponse, Problem> {
        let busy = !has_header(headers, ENGINE_LEAVING, "yes") && status != StatusCode::NOT_FOUND;
        if busy {
            let untried = self.choose_except(&self.tried).is_some();
            let wait = untried.then(|| self.try_retry()).flatten();
            let Some(wait) = wait else {
                return Err(self.no_runner_problem(&call));
            };
            time::sleep(wait).await;
        }
        Ok(ClassifiedResponse::Retry(call))
    }

    /// Returns the call for another attempt after a runner may have run the request.
    async fn handle_loss(
        &self,
        call: Call<Dispatched>,
        runner: &RunnerName,
        address: SocketAddr,
        cause: LossCause,
    ) -> Result<Call<Dispatchable>, Problem> {
        log::debug!(
            "entry: request {} to runner {runner} failed and may have run: {cause:?}",
            call.id
        );
        self.entry.record_runner_failure(runner);
        if matches!(cause, LossCause::TimedOut) {
            self.entry.client.close_idle(address);
        }
        let Some(wait) = self.try_retry() else {
            return Err(loss_problem(&call, &cause));
        };
        time::sleep(wait).await;
        Ok(call.retry(Idempotent::inference()))
    }

    /// Takes a retry from the budget of the service; returns the delay, or `None` if it is exhausted.
    pub(in crate::entry) fn try_retry(&self) -> Option<Duration> {
        let service = &self.request.class.service;
        self.entry.try_retry(service, self.failed_attempts + 1)
    }

    /// Builds the problem document for a request that no runner accepted.
    fn no_runner_problem(&self, call: &Call<Dispatchable>) -> Problem {
        let detail = match self.tried.is_empty() {
            true => format!("no copy of model {} is ready", self.request.model),
            false => format!(
                "no runner accepted the request to model {}",
                self.request.model
            ),
        };
        call.problem(StatusCode::SERVICE_UNAVAILABLE, "no-runner", detail)
            .retry_after(self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER))
    }
}

/// A response classified by its head.
enum ClassifiedResponse {
    /// The response is for the caller.
    Accepted(Box<RunnerResponse>),
    /// The request is to be sent to another runner.
    Retry(Call<Dispatchable>),
}
