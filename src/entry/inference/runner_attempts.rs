//! Finds a runner that answers a request to a model, over as many tries as are allowed.

use {
    super::{InferenceRequest, parse_load},
    crate::{
        entry::{
            Call, Claimed, DispatchError, Dispatched, Entry, EventId, Idempotent, LossCause,
            is_foreign, loss_problem, retry_after,
        },
        http::{ENGINE_LEAVING, ENGINE_LOAD, Exchange, Problem, discard_body, has_header},
        routing::{InFlightGuard, RunnerChoice},
        units::RunnerName,
    },
    hyper::{HeaderMap, StatusCode},
    std::{net::SocketAddr, time::Duration},
    tokio::time::{self, Instant},
};

/// The most tries of one request, or of one resumption of its stream.
const TRIES_MAX: u32 = 4;

/// The `Retry-After` when no engine gave one.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A response of a runner whose body is yet to be read.
#[derive(Debug)]
pub(in crate::entry) struct Attempt {
    pub(in crate::entry) call: Call<Dispatched>,
    pub(in crate::entry) exchange: Exchange,
    pub(in crate::entry) in_flight: InFlightGuard,
}

/// The tries to get a response for one request.
pub(in crate::entry) struct Attempts<'a> {
    pub(in crate::entry) entry: &'a Entry,
    pub(in crate::entry) request: &'a InferenceRequest,
    pub(in crate::entry) tried: Vec<RunnerName>,
    tries: u32,
    retry_after: Option<Duration>,
}

impl<'a> Attempts<'a> {
    pub(in crate::entry) fn new(entry: &'a Entry, request: &'a InferenceRequest) -> Self {
        Self {
            entry,
            request,
            tried: Vec::new(),
            tries: 0,
            retry_after: None,
        }
    }

    /// Passes over a runner as long as there are others.
    pub(in crate::entry) fn avoid(&mut self, runner: RunnerName) {
        self.tried.push(runner);
    }

    /// Tries until a runner answers.
    ///
    /// # Errors
    ///
    /// Returns the problem to be told to the caller.
    pub(in crate::entry) async fn run(
        &mut self,
        mut call: Call<Claimed>,
        after: Option<EventId>,
    ) -> Result<Attempt, Problem> {
        loop {
            let Some(choice) = self.choose_or_wait().await else {
                return Err(self.give_up(&call));
            };
            let RunnerChoice {
                runner, address, ..
            } = choice;
            self.tried.push(runner.clone());
            let in_flight = self.entry.board.start_request(&runner);
            let request = self.request.to_engine(address, after);
            let limit = self.head_timeout();
            let sent = call
                .dispatch(&self.entry.client, address, request, limit)
                .await;
            call = match sent {
                Ok((call, exchange)) => {
                    let attempt = Attempt {
                        call,
                        exchange,
                        in_flight,
                    };
                    match self.judge(attempt).await? {
                        Judged::Answer(attempt) => return Ok(*attempt),
                        Judged::Again(call) => call,
                    }
                }
                Err(DispatchError::Unsent(call, cause)) => {
                    log::debug!("entry: {runner} cannot be reached: {cause}");
                    self.entry.suspect(&runner);
                    call
                }
                Err(DispatchError::Lost(call, cause)) => {
                    self.after_loss(call, &runner, address, cause).await?
                }
            };
            if !self.count_try() {
                return Err(self.give_up(&call));
            }
        }
    }

    /// Returns the longest wait for a response head, which a whole answer has to itself only at
    /// its end.
    fn head_timeout(&self) -> Duration {
        let settings = &self.entry.settings;
        Duration::from_millis(match self.request.stream {
            true => settings.first_token_timeout_ms,
            false => settings.whole_answer_timeout_ms,
        })
    }

    /// Counts a failed try; returns whether another one is allowed.
    pub(in crate::entry) fn count_try(&mut self) -> bool {
        self.tries += 1;
        self.tries < TRIES_MAX
    }

    async fn judge(&mut self, attempt: Attempt) -> Result<Judged, Problem> {
        let runner = attempt.in_flight.runner().clone();
        let address = attempt.exchange.connection.address();
        let headers = attempt.exchange.response.headers().clone();
        self.take_note(&runner, &headers);
        if is_foreign(&headers, self.request.id) {
            metrics::counter!("ggt_foreign_answers_total").increment(1);
            let cause = LossCause::Broken("the response is for another request".to_owned());
            let call = self.after_loss(attempt.call, &runner, address, cause);
            return Ok(Judged::Again(call.await?));
        }
        let status = attempt.exchange.response.status();
        let Attempt {
            call,
            exchange,
            in_flight,
        } = attempt;
        match call.take_back(&headers) {
            Ok(call) => {
                self.retry_after = retry_after(&headers).or(self.retry_after);
                self.entry.board.record_failure(&runner, Instant::now());
                discard_body(exchange).await;
                self.after_refusal(call, &headers, status).await
            }
            Err(call) if status.is_server_error() => {
                let cause = LossCause::Broken(format!("the engine answered {status}"));
                discard_body(exchange).await;
                let call = self.after_loss(call, &runner, address, cause).await?;
                Ok(Judged::Again(call))
            }
            Err(call) => {
                self.entry.board.record_success(&runner);
                Ok(Judged::Answer(Box::new(Attempt {
                    call,
                    exchange,
                    in_flight,
                })))
            }
        }
    }

    fn take_note(&self, runner: &RunnerName, headers: &HeaderMap) {
        let load = headers.get(ENGINE_LOAD).and_then(|text| text.to_str().ok());
        if let Some(load) = load.and_then(parse_load) {
            self.entry.board.record_report(runner, load, Instant::now());
        }
        if has_header(headers, ENGINE_LEAVING, "yes") {
            let incarnation = self.entry.routes.current().incarnation(runner);
            self.entry
                .note_leaving(runner, incarnation.unwrap_or_default());
        }
    }

    async fn after_refusal(
        &mut self,
        call: Call<Claimed>,
        headers: &HeaderMap,
        status: StatusCode,
    ) -> Result<Judged, Problem> {
        let busy = !has_header(headers, ENGINE_LEAVING, "yes") && status != StatusCode::NOT_FOUND;
        if busy {
            let untried = self.choose_except(&self.tried).is_some();
            let wait = untried.then(|| self.try_retry()).flatten();
            let Some(wait) = wait else {
                return Err(self.give_up(&call));
            };
            time::sleep(wait).await;
        }
        Ok(Judged::Again(call))
    }

    async fn after_loss(
        &self,
        call: Call<Dispatched>,
        runner: &RunnerName,
        address: SocketAddr,
        cause: LossCause,
    ) -> Result<Call<Claimed>, Problem> {
        log::debug!("entry: request {} lost at {runner}: {cause:?}", call.id);
        self.entry.suspect(runner);
        if matches!(cause, LossCause::Silent) {
            self.entry.client.close_idle(address);
        }
        let Some(wait) = self.try_retry() else {
            return Err(loss_problem(&call, &cause));
        };
        time::sleep(wait).await;
        Ok(call.repeat(Idempotent::inference()))
    }

    pub(in crate::entry) fn try_retry(&self) -> Option<Duration> {
        let service = &self.request.class.service;
        self.entry.try_retry(service, self.tries + 1)
    }

    fn give_up(&self, call: &Call<Claimed>) -> Problem {
        let detail = match self.tried.is_empty() {
            true => format!("no copy of {} is ready", self.request.model),
            false => format!("no runner takes the request to {}", self.request.model),
        };
        call.problem(StatusCode::SERVICE_UNAVAILABLE, "no-runner", detail)
            .retry_after(self.retry_after.unwrap_or(RETRY_AFTER))
    }
}

enum Judged {
    Answer(Box<Attempt>),
    Again(Call<Claimed>),
}
