//! Finds a runner that answers a request to a model, over as many tries as are allowed.

use {
    super::{
        Backend, Call, Claimed, DispatchError, Dispatched, Entry, EventId, Idempotent, InFlight,
        InferenceRequest, LossCause, backoff, choose_backend, parse_load,
    },
    crate::{
        http::{
            ENGINE_LEAVING, ENGINE_LOAD, Exchange, Problem, REQUEST_ID, discard_body, has_header,
        },
        units::{Incarnation, RequestId},
    },
    hyper::{HeaderMap, StatusCode, header},
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// The most tries of one request, or of one resumption of its stream.
const TRIES_MAX: u32 = 4;

/// When to come back if no engine said it.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A response of a runner whose body is yet to be read.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) call: Call<Dispatched>,
    pub(super) exchange: Exchange,
    pub(super) in_flight: InFlight,
}

/// The tries to get a response for one request.
pub(super) struct Attempts<'a> {
    entry: &'a Entry,
    request: &'a InferenceRequest,
    tried: Vec<Arc<Backend>>,
    tries: u32,
    retry_after: Option<Duration>,
}

impl<'a> Attempts<'a> {
    pub(super) fn new(entry: &'a Entry, request: &'a InferenceRequest) -> Self {
        Self {
            entry,
            request,
            tried: Vec::new(),
            tries: 0,
            retry_after: None,
        }
    }

    /// Passes over a runner as long as there are others.
    pub(super) fn avoid(&mut self, backend: Arc<Backend>) {
        self.tried.push(backend);
    }

    /// Tries until a runner answers.
    ///
    /// # Errors
    ///
    /// Returns the problem to be told to the caller.
    pub(super) async fn run(
        &mut self,
        mut call: Call<Claimed>,
        after: Option<EventId>,
    ) -> Result<Attempt, Problem> {
        loop {
            let Some((backend, incarnation)) = self.choose() else {
                return Err(self.give_up(&call));
            };
            self.tried.push(backend.clone());
            let in_flight = backend.enter();
            let request = self.request.to_engine(backend.address, after);
            let limit = Duration::from_millis(self.entry.settings.first_token_timeout_ms);
            let sent = call
                .dispatch(&self.entry.client, backend.address, request, limit)
                .await;
            call = match sent {
                Ok((call, exchange)) => {
                    let attempt = Attempt {
                        call,
                        exchange,
                        in_flight,
                    };
                    match self.judge(attempt, incarnation).await? {
                        Judged::Answer(attempt) => return Ok(*attempt),
                        Judged::Again(call) => call,
                    }
                }
                Err(DispatchError::Unsent(call, cause)) => {
                    log::debug!("entry: {} cannot be reached: {cause}", backend.name);
                    self.entry.suspect(&backend);
                    call
                }
                Err(DispatchError::Lost(call, cause)) => self.after_loss(call, &backend, cause)?,
            };
            if !self.count_try() {
                return Err(self.give_up(&call));
            }
        }
    }

    /// Counts a failed try; returns whether another one is allowed.
    pub(super) fn count_try(&mut self) -> bool {
        self.tries += 1;
        self.tries < TRIES_MAX
    }

    fn choose(&mut self) -> Option<(Arc<Backend>, Incarnation)> {
        let routes = self.entry.routes.current();
        let candidates = routes.candidates(&self.request.model, self.request.adapter.as_ref());
        let near = &self.entry.settings.data_centre;
        let backends = || candidates.iter().map(|(backend, _)| backend);
        let chosen = choose_backend(backends(), &self.tried, near)
            .or_else(|| choose_backend(backends(), &[], near))?;
        let state = candidates
            .iter()
            .find(|(backend, _)| Arc::ptr_eq(backend, &chosen));
        let incarnation = state.map(|(_, state)| state.incarnation)?;
        Some((chosen, incarnation))
    }

    async fn judge(
        &mut self,
        attempt: Attempt,
        incarnation: Incarnation,
    ) -> Result<Judged, Problem> {
        let backend = attempt.in_flight.backend().clone();
        let headers = attempt.exchange.response.headers();
        take_note(&backend, headers, incarnation);
        if is_foreign(headers, self.request.id) {
            metrics::counter!("ggt_foreign_answers_total").increment(1);
            let cause = LossCause::Broken("the response is for another request".to_owned());
            let call = self.after_loss(attempt.call, &backend, cause)?;
            return Ok(Judged::Again(call));
        }
        let status = attempt.exchange.response.status();
        let headers = headers.clone();
        let Attempt {
            call,
            exchange,
            in_flight,
        } = attempt;
        match call.take_back(&headers) {
            Ok(call) => {
                self.retry_after = retry_after(&headers).or(self.retry_after);
                discard_body(exchange).await;
                self.after_refusal(call, &headers, status).await
            }
            Err(call) if status.is_server_error() => {
                let cause = LossCause::Broken(format!("the engine answered {status}"));
                discard_body(exchange).await;
                Ok(Judged::Again(self.after_loss(call, &backend, cause)?))
            }
            Err(call) => Ok(Judged::Answer(Box::new(Attempt {
                call,
                exchange,
                in_flight,
            }))),
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
            let allowed = self.untried_left() && self.withdraw();
            if !allowed {
                return Err(self.give_up(&call));
            }
            time::sleep(backoff(self.tries)).await;
        }
        Ok(Judged::Again(call))
    }

    fn after_loss(
        &mut self,
        call: Call<Dispatched>,
        backend: &Arc<Backend>,
        cause: LossCause,
    ) -> Result<Call<Claimed>, Problem> {
        log::debug!(
            "entry: request {} lost at {}: {cause:?}",
            call.id,
            backend.name
        );
        self.entry.suspect(backend);
        if matches!(cause, LossCause::Silent) {
            self.entry.client.close_idle(backend.address);
        }
        if !self.withdraw() {
            return Err(loss_problem(&call, &cause));
        }
        Ok(call.repeat(Idempotent::inference()))
    }

    fn untried_left(&self) -> bool {
        let routes = self.entry.routes.current();
        let candidates = routes.candidates(&self.request.model, self.request.adapter.as_ref());
        let near = &self.entry.settings.data_centre;
        let backends = candidates.iter().map(|(backend, _)| backend);
        choose_backend(backends, &self.tried, near).is_some()
    }

    fn withdraw(&self) -> bool {
        self.entry.budgets.withdraw(self.request.budget_name())
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

fn take_note(backend: &Backend, headers: &HeaderMap, incarnation: Incarnation) {
    let load = headers.get(ENGINE_LOAD).and_then(|text| text.to_str().ok());
    if let Some(load) = load.and_then(parse_load) {
        backend.set_load(load);
    }
    if has_header(headers, ENGINE_LEAVING, "yes") {
        log::info!("entry: {} is leaving", backend.name);
        backend.set_leaving(incarnation);
    }
}

/// Returns whether a response says that it answers another request.
pub(super) fn is_foreign(headers: &HeaderMap, id: RequestId) -> bool {
    let Some(found) = headers.get(REQUEST_ID) else {
        return false;
    };
    found.to_str().ok().and_then(|text| text.parse().ok()) != Some(id)
}

/// Returns the wait that a response asks for.
pub(super) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs)
}

/// Describes a request that was dispatched and brought no response.
pub(super) fn loss_problem(call: &Call<Dispatched>, cause: &LossCause) -> Problem {
    match cause {
        LossCause::Broken(detail) => {
            call.problem(StatusCode::BAD_GATEWAY, "connection-lost", detail.clone())
        }
        LossCause::Silent => call.problem(
            StatusCode::GATEWAY_TIMEOUT,
            "no-answer-in-time",
            "the backend server stayed silent",
        ),
    }
}
