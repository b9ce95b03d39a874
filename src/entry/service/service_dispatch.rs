//! Dispatches requests to the backend servers of plain services.

use {
    super::{
        Backend, BackendInFlightGuard, ServiceRequest, choose_backend,
        long_response::{LongResponse, ReadStartError, ResponseStart, read_start},
    },
    crate::{
        entry::{
            Call, DispatchError, Dispatchable, Dispatched, Entry, LossCause, loss_problem,
            retry_after,
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

/// The most attempts of one request.
const ATTEMPTS_MAX: u32 = 4;

/// The `Retry-After` for the caller when no backend server sent one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The attempts of one request at the backend servers of its service.
struct BackendAttempts<'a> {
    entry: &'a Entry,
    request: &'a ServiceRequest,
    tried: Vec<Arc<Backend>>,
    retry_after: Option<Duration>,
}

/// The reason why an attempt brought no usable response.
enum AttemptFailure {
    /// The request did not run; `busy` if the backend server is overloaded.
    NotRun {
        call: Call<Dispatchable>,
        busy: bool,
    },
    /// The request may have run.
    Lost {
        call: Call<Dispatched>,
        cause: LossCause,
    },
}

impl Entry {
    /// Dispatches a call until it gets a response or may not be dispatched again.
    ///
    /// Once the first byte of a call may have been sent, the call is retried only if it is
    /// idempotent.
    pub(super) async fn dispatch_service(
        &self,
        request: &ServiceRequest,
    ) -> Result<Response<Body>, Problem> {
        let mut attempts = BackendAttempts::new(self, request);
        let mut call = Call::new(request.id).allow_dispatch();
        for attempt in 1..=ATTEMPTS_MAX {
            match attempts.attempt_next(call).await? {
                Ok(response) => return Ok(response),
                Err(failure) => call = attempts.handle_failure(failure, attempt).await?,
            }
        }
        Err(attempts.no_backend_problem(&call))
    }
}

impl<'a> BackendAttempts<'a> {
    fn new(entry: &'a Entry, request: &'a ServiceRequest) -> Self {
        Self {
            entry,
            request,
            tried: Vec::new(),
            retry_after: None,
        }
    }

    /// Sends the request to the next backend server.
    async fn attempt_next(
        &mut self,
        call: Call<Dispatchable>,
    ) -> Result<Result<Response<Body>, AttemptFailure>, Problem> {
        let Some(backend) = self.choose() else {
            return Err(self.no_backend_problem(&call));
        };
        self.tried.push(backend.clone());
        let in_flight = backend.start_request();
        let request = self.request.to_backend(backend.address);
        let limit = self.request.time_left();
        let sent = call
            .dispatch(&self.entry.client, backend.address, request, limit)
            .await;
        Ok(match sent {
            Ok((call, exchange)) => self.classify_response(call, exchange, in_flight).await,
            Err(DispatchError::Unsent(call, cause)) => {
                log::debug!(
                    "entry: backend server {} cannot be reached: {cause}",
                    backend.name
                );
                backend.record_failure();
                Err(AttemptFailure::NotRun { call, busy: false })
            }
            Err(DispatchError::Lost(call, cause)) => Err(self.record_loss(call, cause, &backend)),
        })
    }

    fn choose(&self) -> Option<Arc<Backend>> {
        let routes = self.entry.routes.current();
        let backends = routes.service(&self.request.path.service).iter();
        let backends = backends.filter(|backend| !routes.is_leaving(backend.address));
        let local_data_centre = &self.entry.settings.data_centre;
        let chosen = choose_backend(backends, &self.tried, local_data_centre)?;
        (!chosen.has_announced_leaving()).then_some(chosen)
    }

    /// Decides by the head of a response whether the request ran, and if so reads the response.
    async fn classify_response(
        &mut self,
        call: Call<Dispatched>,
        exchange: Exchange,
        in_flight: BackendInFlightGuard,
    ) -> Result<Response<Body>, AttemptFailure> {
        let headers = exchange.response.headers().clone();
        let leaving = has_header(&headers, ENGINE_LEAVING, "yes");
        if leaving {
            log::info!(
                "entry: backend server {} is leaving",
                in_flight.backend().name
            );
            in_flight.backend().record_leaving();
        }
        match call.into_not_run(&headers) {
            Ok(call) => {
                self.retry_after = retry_after(&headers).or(self.retry_after);
                discard_body(exchange).await;
                Err(AttemptFailure::NotRun {
                    call,
                    busy: !leaving,
                })
            }
            Err(call) => self.read_response(call, exchange, in_flight).await,
        }
    }

    async fn read_response(
        &self,
        call: Call<Dispatched>,
        exchange: Exchange,
        in_flight: BackendInFlightGuard,
    ) -> Result<Response<Body>, AttemptFailure> {
        let Exchange {
            response,
            connection,
        } = exchange;
        let (mut head, mut body) = response.into_parts();
        if !has_no_body(head.status, &self.request.method) && !has_known_end(&head.headers) {
            let cause = LossCause::Failed(
                "the response has neither a content length nor chunked encoding".to_owned(),
            );
            return Err(self.record_loss(call, cause, in_flight.backend()));
        }
        let deadline = self.request.deadline;
        match read_start(&mut body, deadline).await {
            Ok(ResponseStart::Complete(body)) => {
                call.mark_responded();
                connection.recycle();
                remove_connection_headers(&mut head.headers);
                Ok(Response::from_parts(head, Body::from(body)))
            }
            Ok(ResponseStart::Partial(buffered)) => {
                call.mark_responded();
                remove_connection_headers(&mut head.headers);
                let rest = LongResponse {
                    body,
                    connection,
                    in_flight,
                    deadline,
                };
                Ok(Response::from_parts(head, rest.into_body(buffered)))
            }
            Err(ReadStartError::TooSlow) => {
                Err(self.record_loss(call, LossCause::TimedOut, in_flight.backend()))
            }
            Err(ReadStartError::Cut(cause)) => {
                Err(self.record_loss(call, LossCause::Failed(cause), in_flight.backend()))
            }
        }
    }

    /// Records the failure of a backend server that may have run the request.
    fn record_loss(
        &self,
        call: Call<Dispatched>,
        cause: LossCause,
        backend: &Backend,
    ) -> AttemptFailure {
        log::debug!(
            "entry: request {} to backend server {} failed and may have run: {cause:?}",
            call.id,
            backend.name
        );
        backend.record_failure();
        if matches!(cause, LossCause::TimedOut) {
            self.entry.client.close_idle(backend.address);
        }
        AttemptFailure::Lost { call, cause }
    }

    /// Returns the call if it may be dispatched again, after the retry delay.
    async fn handle_failure(
        &self,
        failure: AttemptFailure,
        attempt: u32,
    ) -> Result<Call<Dispatchable>, Problem> {
        match failure {
            AttemptFailure::NotRun { call, busy: false } => Ok(call),
            AttemptFailure::NotRun { call, busy: true } => {
                let Some(wait) = self.entry.try_retry(&self.request.path.service, attempt) else {
                    return Err(self.no_backend_problem(&call));
                };
                time::sleep(wait).await;
                Ok(call)
            }
            AttemptFailure::Lost { call, cause } => {
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
                Ok(call.retry(proof))
            }
        }
    }

    /// Builds the problem document for a request that no backend server accepted.
    fn no_backend_problem(&self, call: &Call<Dispatchable>) -> Problem {
        let detail = format!(
            "no backend server of service {} accepted the request",
            self.request.path.service
        );
        call.problem(StatusCode::SERVICE_UNAVAILABLE, "no-backend", detail)
            .retry_after(self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER))
    }
}

fn has_no_body(status: StatusCode, method: &hyper::Method) -> bool {
    let without = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    without.contains(&status) || method == hyper::Method::HEAD
}
