//! Handles inference requests, with complete and streamed responses.

use {
    super::{InferenceRequest, InferenceRequestError, RunnerAttempts, RunnerResponse},
    crate::{
        admission::{AdmissionDecision, Permit},
        entry::{
            Call, Dispatched, Entry, Idempotent, LossCause, OpenRequestGuard, StreamRelay,
            is_event_stream, loss_problem,
        },
        http::{
            Body, Problem, RESUMABLE, ReadError, SERVICE_CLASS, has_known_end, read_body,
            remove_connection_headers,
        },
        units::RequestId,
    },
    hyper::{Request, Response, StatusCode, body::Incoming, header},
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// The largest response that is read completely before it is passed on, in bytes.
const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;

impl Entry {
    /// Handles an inference request from its parsing to the response.
    pub(in crate::entry) async fn infer(
        self: &Arc<Self>,
        id: RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Problem> {
        let open_request = self.acquire_open_request()?;
        let request = self.read_inference(id, request).await?;
        self.update_demand(&request, |demand| demand.requests += 1);
        self.budget.record_request(&request.class.service);
        let result = self.run_inference(request, open_request).await;
        result.map_err(|(request, problem)| {
            self.update_demand(&request, |demand| demand.refused += 1);
            problem
        })
    }

    async fn read_inference(
        &self,
        id: RequestId,
        request: Request<Incoming>,
    ) -> Result<InferenceRequest, Problem> {
        let (head, body) = request.into_parts();
        let body = self.read_body(body).await?;
        let class = head.headers.get(SERVICE_CLASS);
        let class = class.map(|class| class.to_str().unwrap_or("?"));
        let routes = self.routes.current();
        let read =
            InferenceRequest::read(id, head.uri.path(), body.bytes, class, &routes.view.catalog);
        let mut request = read.map_err(request_problem)?;
        request.body_memory = Some(body.body_memory);
        Ok(request)
    }

    async fn run_inference(
        self: &Arc<Self>,
        request: InferenceRequest,
        open_request: OpenRequestGuard,
    ) -> Result<Response<Body>, (InferenceRequest, Problem)> {
        let permit = match self.admit(&request).await {
            Ok(permit) => permit,
            Err(problem) => return Err((request, problem)),
        };
        let mut call = Call::new(request.id).allow_dispatch();
        let mut attempts = RunnerAttempts::new(self, &request);
        loop {
            let response = match attempts.run(call, None).await {
                Ok(response) => response,
                Err(problem) => return Err((request, problem)),
            };
            if request.stream && is_event_stream(&response) {
                drop(attempts);
                return Ok(self.clone().stream(request, response, permit, open_request));
            }
            match self.read_complete_response(response).await {
                Ok(response) => return Ok(response),
                Err((attempt_call, cause)) => {
                    let allowed = attempts.record_failed_attempt();
                    let Some(wait) = allowed.then(|| attempts.try_retry()).flatten() else {
                        return Err((request, loss_problem(&attempt_call, &cause)));
                    };
                    time::sleep(wait).await;
                    call = attempt_call.retry(Idempotent::inference());
                }
            }
        }
    }

    /// Waits for admission of the request.
    async fn admit(&self, request: &InferenceRequest) -> Result<Permit, Problem> {
        let targets = &request.class.targets;
        let admitted = match self
            .admission
            .admit(&request.model, targets, request.arrived)
        {
            AdmissionDecision::Admitted(permit) => Ok(permit),
            AdmissionDecision::Queued(waiter) => waiter.wait().await,
            AdmissionDecision::Refused(refusal) => Err(refusal),
        };
        self.metrics.queue.record(request.arrived.elapsed());
        admitted.map_err(|refusal| {
            let detail = refusal.reason.to_string();
            Problem::not_run(StatusCode::TOO_MANY_REQUESTS, "overload", detail)
                .retry_after(Duration::from_millis(refusal.retry_after_ms))
        })
    }

    /// Returns a response whose body relays the stream of the engine.
    fn stream(
        self: Arc<Self>,
        request: InferenceRequest,
        response: RunnerResponse,
        permit: Permit,
        open_request: OpenRequestGuard,
    ) -> Response<Body> {
        let mut headers = response.exchange.response.headers().clone();
        remove_connection_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(RESUMABLE);
        let relay = StreamRelay::new(self, request, response, permit, open_request);
        let mut response = Response::new(relay.into_body());
        *response.headers_mut() = headers;
        response
    }

    /// Reads a response to its end before any part of it is passed to the caller.
    async fn read_complete_response(
        &self,
        response: RunnerResponse,
    ) -> Result<Response<Body>, (Call<Dispatched>, LossCause)> {
        let RunnerResponse {
            call,
            exchange,
            in_flight,
        } = response;
        let (mut head, body) = exchange.response.into_parts();
        if !has_known_end(&head.headers) {
            let cause = LossCause::Failed(
                "the response has neither a content length nor chunked encoding".to_owned(),
            );
            return Err((call, cause));
        }
        let limit = Duration::from_millis(self.settings.whole_answer_timeout_ms);
        match read_body(body, RESPONSE_MAX_BYTES, limit).await {
            Ok(body) => {
                call.mark_responded();
                exchange.connection.recycle();
                drop(in_flight);
                remove_connection_headers(&mut head.headers);
                Ok(Response::from_parts(head, Body::from(body)))
            }
            Err(cause) => {
                self.record_runner_failure(in_flight.runner());
                if cause == ReadError::TooSlow {
                    self.client.close_idle(exchange.connection.address());
                    return Err((call, LossCause::TimedOut));
                }
                Err((call, LossCause::Failed(cause.to_string())))
            }
        }
    }
}

fn request_problem(cause: InferenceRequestError) -> Problem {
    let (status, kind) = match cause {
        InferenceRequestError::Malformed(_) => (StatusCode::BAD_REQUEST, "malformed-request"),
        InferenceRequestError::UnknownModel(_) => (StatusCode::NOT_FOUND, "unknown-model"),
        InferenceRequestError::UnknownClass(_) => (StatusCode::BAD_REQUEST, "unknown-class"),
    };
    Problem::not_run(status, kind, cause.to_string())
}
