//! Dispatches requests to the backend servers of plain services.

use {
    super::{
        Backend, BackendUse, ServiceRequest, choose_backend,
        long_response::{AnswerStart, LongAnswer, ReadStartError, read_start},
    },
    crate::{
        entry::{
            Call, Claimed, DispatchError, Dispatched, Entry, LossCause, loss_problem, retry_after,
        },
        http::{
            Body, ENGINE_LEAVING, Exchange, Problem, discard_body, has_header, has_known_end,
            remove_connection_headers,
        },
    },
    hyper::{Response, StatusCode},
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// The most dispatches of one request.
const TRIES_MAX: u32 = 4;

/// The `Retry-After` when no backend server gave one.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The backend servers that a request was sent to.
struct Tries<'a> {
    entry: &'a Entry,
    request: &'a ServiceRequest,
    tried: Vec<Arc<Backend>>,
    retry_after: Option<Duration>,
}

/// Why one dispatch brought no answer.
enum Failure {
    /// It did not run there; `busy` if the backend server is overloaded.
    NotRun { call: Call<Claimed>, busy: bool },
    /// It may have run.
    Lost {
        call: Call<Dispatched>,
        cause: LossCause,
    },
}

impl Entry {
    /// Dispatches a call until it is answered or may not be dispatched again.
    ///
    /// Only an idempotent call is repeated once its first byte may have left.
    pub(super) async fn dispatch_service(
        &self,
        request: &ServiceRequest,
    ) -> Result<Response<Body>, Problem> {
        let mut tries = Tries::new(self, request);
        let mut call = Call::new(request.id).claim();
        for attempt in 1..=TRIES_MAX {
            match tries.next(call).await? {
                Ok(response) => return Ok(response),
                Err(failure) => call = tries.after_failure(failure, attempt).await?,
            }
        }
        Err(tries.give_up(&call))
    }
}

impl<'a> Tries<'a> {
    fn new(entry: &'a Entry, request: &'a ServiceRequest) -> Self {
        Self {
            entry,
            request,
            tried: Vec::new(),
            retry_after: None,
        }
    }

    /// Sends the request to the next backend server.
    async fn next(
        &mut self,
        call: Call<Claimed>,
    ) -> Result<Result<Response<Body>, Failure>, Problem> {
        let Some(backend) = self.choose() else {
            return Err(self.give_up(&call));
        };
        self.tried.push(backend.clone());
        let in_flight = backend.enter();
        let request = self.request.to_backend(backend.address);
        let limit = self.request.time_left();
        let sent = call
            .dispatch(&self.entry.client, backend.address, request, limit)
            .await;
        Ok(match sent {
            Ok((call, exchange)) => self.judge(call, exchange, in_flight).await,
            Err(DispatchError::Unsent(call, cause)) => {
                log::debug!("entry: {} cannot be reached: {cause}", backend.name);
                backend.set_failed();
                Err(Failure::NotRun { call, busy: false })
            }
            Err(DispatchError::Lost(call, cause)) => Err(self.lost(call, cause, &backend)),
        })
    }

    fn choose(&self) -> Option<Arc<Backend>> {
        let routes = self.entry.routes.current();
        let backends = routes.service(&self.request.path.service).iter();
        let backends = backends.filter(|backend| !routes.is_leaving(backend.address));
        let near = &self.entry.settings.data_centre;
        let chosen = choose_backend(backends, &self.tried, near)?;
        (!chosen.was_leaving()).then_some(chosen)
    }

    async fn judge(
        &mut self,
        call: Call<Dispatched>,
        exchange: Exchange,
        in_flight: BackendUse,
    ) -> Result<Response<Body>, Failure> {
        let headers = exchange.response.headers().clone();
        let leaving = has_header(&headers, ENGINE_LEAVING, "yes");
        if leaving {
            log::info!("entry: {} is leaving", in_flight.backend().name);
            in_flight.backend().set_leaving();
        }
        match call.take_back(&headers) {
            Ok(call) => {
                self.retry_after = retry_after(&headers).or(self.retry_after);
                discard_body(exchange).await;
                Err(Failure::NotRun {
                    call,
                    busy: !leaving,
                })
            }
            Err(call) => self.read_answer(call, exchange, in_flight).await,
        }
    }

    async fn read_answer(
        &self,
        call: Call<Dispatched>,
        exchange: Exchange,
        in_flight: BackendUse,
    ) -> Result<Response<Body>, Failure> {
        let Exchange {
            response,
            connection,
        } = exchange;
        let (mut head, mut body) = response.into_parts();
        if !bodyless(head.status, &self.request.method) && !has_known_end(&head.headers) {
            let cause = LossCause::Broken("the answer has no known end".to_owned());
            return Err(self.lost(call, cause, in_flight.backend()));
        }
        let deadline = self.request.deadline;
        match read_start(&mut body, deadline).await {
            Ok(AnswerStart::Whole(whole)) => {
                call.answer();
                connection.recycle();
                remove_connection_headers(&mut head.headers);
                Ok(Response::from_parts(head, Body::from(whole)))
            }
            Ok(AnswerStart::Part(held)) => {
                call.answer();
                remove_connection_headers(&mut head.headers);
                let rest = LongAnswer {
                    body,
                    connection,
                    in_use: in_flight,
                    deadline,
                };
                Ok(Response::from_parts(head, rest.into_body(held)))
            }
            Err(ReadStartError::TooSlow) => {
                Err(self.lost(call, LossCause::Silent, in_flight.backend()))
            }
            Err(ReadStartError::Cut(cause)) => {
                Err(self.lost(call, LossCause::Broken(cause), in_flight.backend()))
            }
        }
    }

    fn lost(&self, call: Call<Dispatched>, cause: LossCause, backend: &Backend) -> Failure {
        log::debug!(
            "entry: request {} lost at {}: {cause:?}",
            call.id,
            backend.name
        );
        backend.set_failed();
        if matches!(cause, LossCause::Silent) {
            self.entry.client.close_idle(backend.address);
        }
        Failure::Lost { call, cause }
    }

    /// Returns the call if it may be dispatched again.
    async fn after_failure(
        &self,
        failure: Failure,
        attempt: u32,
    ) -> Result<Call<Claimed>, Problem> {
        match failure {
            Failure::NotRun { call, busy: false } => Ok(call),
            Failure::NotRun { call, busy: true } => {
                let Some(wait) = self.entry.try_retry(&self.request.path.service, attempt) else {
                    return Err(self.give_up(&call));
                };
                time::sleep(wait).await;
                Ok(call)
            }
            Failure::Lost { call, cause } => {
                let Some(proof) = self.request.idempotent else {
                    return Err(loss_problem(&call, &cause));
                };
                if self.request.time_left().is_zero() {
                    return Err(loss_problem(&call, &cause));
                }
                let Some(wait) = self.entry.try_retry(&self.request.path.service, attempt) else {
                    return Err(loss_problem(&call, &cause));
                };
                time::sleep(wait).await;
                Ok(call.repeat(proof))
            }
        }
    }

    fn give_up(&self, call: &Call<Claimed>) -> Problem {
        let detail = format!(
            "no backend server of {} takes the call",
            self.request.path.service
        );
        call.problem(StatusCode::SERVICE_UNAVAILABLE, "no-backend", detail)
            .retry_after(self.retry_after.unwrap_or(RETRY_AFTER))
    }
}

fn bodyless(status: StatusCode, method: &hyper::Method) -> bool {
    let without = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    without.contains(&status) || method == hyper::Method::HEAD
}
