//! Handles requests to plain services.

use {
    super::{ServicePath, ServiceRequest, key_problem},
    crate::{
        entry::{Entry, HeldKey, KeyDecision},
        http::{Body, NEXT_IDEMPOTENCY_KEY, Outcome, Problem},
        units::RequestId,
    },
    hyper::{Request, Response, StatusCode, body::Incoming},
    std::sync::Arc,
};

impl Entry {
    /// Handles a request below `/services/`: a call of a plain service or a request for tickets.
    pub(in crate::entry) async fn call_service(
        self: &Arc<Self>,
        id: RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Problem> {
        let open_request = self.acquire_open_request()?;
        let path = ServicePath::read(request.uri()).ok_or_else(|| {
            let detail = "the path must be /services/NAME/...";
            Problem::not_run(StatusCode::NOT_FOUND, "unknown-service", detail)
        })?;
        if path.is_ticket_request() {
            return self.mint_tickets(&path, request.method());
        }
        let (head, body) = request.into_parts();
        let body = self.read_body(body).await?;
        let routes = self.routes.current();
        let request =
            ServiceRequest::new(id, path, head.method, head.headers, body.bytes, &routes)?;
        self.budget.record_request(&request.path.service);
        if request.idempotent.is_some() {
            return self.dispatch_service(&request).await;
        }
        let entry = self.clone();
        let result = tokio::spawn(async move {
            let result = entry.call_non_idempotent(request).await;
            drop((open_request, body.body_memory));
            result
        });
        result.await.unwrap_or_else(|_| Err(interrupted()))
    }

    /// Runs a call that is not idempotent; the call continues after its caller disconnects.
    async fn call_non_idempotent(
        self: &Arc<Self>,
        request: ServiceRequest,
    ) -> Result<Response<Body>, Problem> {
        let service = request.path.service.clone();
        let result = match request.key().map(str::to_owned) {
            None => self.dispatch_service(&request).await,
            Some(key) => self.call_keyed(request, &key).await,
        };
        let mut response = result?;
        if let Ok(key) = self.keys.mint(&service).to_string().try_into() {
            response.headers_mut().insert(NEXT_IDEMPOTENCY_KEY, key);
        }
        Ok(response)
    }

    /// Dispatches or forwards a call with an idempotency key, or refuses it.
    async fn call_keyed(
        &self,
        request: ServiceRequest,
        key: &str,
    ) -> Result<Response<Body>, Problem> {
        let decision = self
            .keys
            .acquire(&request.path.service, key, request.id)
            .await;
        match decision {
            KeyDecision::Dispatch(held) => self.dispatch_held(request, held).await,
            KeyDecision::Forward(ticket) => self.forward(request, &ticket).await,
            refused => Err(key_problem(&refused)),
        }
    }

    /// Dispatches a call that holds its idempotency key, and then releases or finishes the key.
    pub(in crate::entry) async fn dispatch_held(
        &self,
        request: ServiceRequest,
        held: HeldKey,
    ) -> Result<Response<Body>, Problem> {
        let result = self.dispatch_service(&request).await;
        match &result {
            Ok(response) => held.finish(response.status().as_u16()),
            Err(problem) if problem.outcome == Outcome::NotRun => held.release(),
            Err(_) => drop(held),
        }
        result
    }
}

fn interrupted() -> Problem {
    let detail = "the call was interrupted";
    Problem::unknown(StatusCode::INTERNAL_SERVER_ERROR, "interrupted", detail)
}
