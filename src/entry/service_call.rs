//! Answers requests to plain services.

use {
    super::{
        Entry, ForwardedCall, ForwardedHeader, ForwardedReply, HeldKey, KeyVerdict, ServicePath,
        ServiceRequest, Ticket, read_problem, unknown_service,
    },
    crate::{
        config::ServiceTarget,
        http::{Body, NEXT_IDEMPOTENCY_KEY, Outcome, Problem, read_body},
        membership::Member,
        units::{RequestId, ServiceName},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Limited},
    hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header},
    serde::Serialize,
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// When to come back after a claim failed.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Tickets minted at once when the caller gives no number.
const TICKETS_DEFAULT: usize = 10;

/// The most tickets minted at once.
const TICKETS_MAX: usize = 100;

/// The largest answer that is passed between entries, in bytes.
const FORWARDED_MAX_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug, Serialize)]
struct MintedKeys {
    keys: Vec<String>,
}

impl Entry {
    pub(super) async fn call_service(
        self: &Arc<Self>,
        id: RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Problem> {
        let open = self.open()?;
        let path = ServicePath::read(request.uri()).ok_or_else(|| {
            let detail = "the path must be /services/NAME/...";
            Problem::not_run(StatusCode::NOT_FOUND, "unknown-service", detail)
        })?;
        if path.is_tickets() {
            return self.mint_tickets(&path, request.method());
        }
        let (head, body) = request.into_parts();
        let body = read_body(body, self.settings.body_max_bytes, self.read_timeout())
            .await
            .map_err(read_problem)?;
        let routes = self.routes.current();
        let request = ServiceRequest::new(id, path, head.method, head.headers, body, &routes)?;
        self.budget.record_request(&request.path.service);
        if request.idempotent.is_some() {
            return self.dispatch_service(&request).await;
        }
        let entry = self.clone();
        let answered = tokio::spawn(async move {
            let answered = entry.call_once(request).await;
            drop(open);
            answered
        });
        answered.await.unwrap_or_else(|_| Err(interrupted()))
    }

    /// Runs a call that may not be repeated; it goes on when the caller goes away.
    async fn call_once(
        self: &Arc<Self>,
        request: ServiceRequest,
    ) -> Result<Response<Body>, Problem> {
        let service = request.path.service.clone();
        let answered = match request.key().map(str::to_owned) {
            None => self.dispatch_service(&request).await,
            Some(key) => self.call_keyed(request, &key).await,
        };
        let mut response = answered?;
        if let Ok(key) = self.keys.mint(&service).to_string().try_into() {
            response.headers_mut().insert(NEXT_IDEMPOTENCY_KEY, key);
        }
        Ok(response)
    }

    async fn call_keyed(
        &self,
        request: ServiceRequest,
        key: &str,
    ) -> Result<Response<Body>, Problem> {
        let verdict = self
            .keys
            .judge(&request.path.service, key, request.id)
            .await;
        match verdict {
            KeyVerdict::Dispatch(held) => self.call_held(request, held).await,
            KeyVerdict::Forward(ticket) => self.forward(request, &ticket).await,
            refused => Err(key_problem(&refused)),
        }
    }

    async fn call_held(
        &self,
        request: ServiceRequest,
        held: HeldKey,
    ) -> Result<Response<Body>, Problem> {
        let answered = self.dispatch_service(&request).await;
        match &answered {
            Ok(response) => held.finish(response.status().as_u16()),
            Err(problem) if problem.outcome == Outcome::NotRun => held.release(),
            Err(_) => drop(held),
        }
        answered
    }

    async fn forward(
        &self,
        request: ServiceRequest,
        ticket: &Ticket,
    ) -> Result<Response<Body>, Problem> {
        let routes = self.routes.current();
        let Some(member) = find_member(&routes.view.members, ticket) else {
            return Err(owner_gone());
        };
        let time_left = request.time_left();
        let call = forwarded_call(request, ticket);
        let forwarded = self.keys.forwarder.forward(member, call);
        match time::timeout(time_left, forwarded).await {
            Ok(Ok(reply)) => Ok(reply_response(reply)),
            Ok(Err(cause)) => Err(Problem::unknown(
                StatusCode::BAD_GATEWAY,
                "ticket-owner-gone",
                cause.to_string(),
            )),
            Err(_) => Err(owner_gone()),
        }
    }

    /// Dispatches a call whose ticket this entry has minted, for another entry.
    pub async fn answer_forwarded(self: &Arc<Self>, call: ForwardedCall) -> ForwardedReply {
        let answered = self.run_forwarded(call).await;
        let response = answered.unwrap_or_else(Problem::into_response);
        forwarded_reply(response).await
    }

    async fn run_forwarded(
        self: &Arc<Self>,
        call: ForwardedCall,
    ) -> Result<Response<Body>, Problem> {
        let malformed = || {
            let detail = "the forwarded call is malformed";
            Problem::not_run(StatusCode::BAD_REQUEST, "malformed-request", detail)
        };
        let _open = self.open()?;
        let method = Method::from_bytes(call.method.as_bytes()).map_err(|_| malformed())?;
        let ticket: Ticket = call.ticket.parse().map_err(|_| malformed())?;
        let path = ServicePath {
            service: call.service,
            rest: call.path,
        };
        let headers = read_headers(&call.headers);
        let routes = self.routes.current();
        let request =
            ServiceRequest::new(call.request_id, path, method, headers, call.body, &routes)?;
        let service = request.path.service.clone();
        let verdict = self
            .keys
            .judge(&service, &ticket.to_string(), request.id)
            .await;
        match verdict {
            KeyVerdict::Dispatch(held) => self.call_held(request, held).await,
            KeyVerdict::Forward(_) => Err(owner_gone()),
            refused => Err(key_problem(&refused)),
        }
    }

    fn mint_tickets(&self, path: &ServicePath, method: &Method) -> Result<Response<Body>, Problem> {
        if method != Method::POST {
            let detail = "tickets are minted with POST";
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(Problem::not_run(status, "wrong-method", detail));
        }
        let routes = self.routes.current();
        let service = routes.view.catalog.service(&path.service);
        if !service.is_some_and(|found| matches!(found.target, ServiceTarget::Plain { .. })) {
            return Err(unknown_service(&path.service));
        }
        let count = wanted_count(&path.rest).min(TICKETS_MAX);
        Ok(json_response(&MintedKeys {
            keys: self.mint_keys(&path.service, count),
        }))
    }

    fn mint_keys(&self, service: &ServiceName, count: usize) -> Vec<String> {
        let mint = || self.keys.mint(service).to_string();
        std::iter::repeat_with(mint).take(count).collect()
    }
}

fn wanted_count(rest: &str) -> usize {
    let query = rest.split_once('?').map_or("", |(_, query)| query);
    let count = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("count="));
    let count = count.and_then(|text| text.parse().ok());
    count.unwrap_or(TICKETS_DEFAULT)
}

fn find_member<'a>(members: &'a [Member], ticket: &Ticket) -> Option<&'a Member> {
    members.iter().find(|member| member.vm == ticket.vm)
}

fn key_problem(verdict: &KeyVerdict) -> Problem {
    match verdict {
        KeyVerdict::Used(status) => {
            let detail = "the idempotency key was used before";
            let mut problem = Problem::unknown(StatusCode::CONFLICT, "key-used", detail);
            problem.earlier_status = *status;
            problem
        }
        KeyVerdict::NoClaim => {
            let detail = "the idempotency key cannot be claimed now";
            Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-claim", detail)
                .retry_after(CLAIM_RETRY_AFTER)
        }
        KeyVerdict::Forged => {
            let detail = "the idempotency key is no ticket for this service";
            Problem::not_run(StatusCode::BAD_REQUEST, "bad-ticket", detail)
        }
        _ => {
            let detail = "the ticket is too old to tell whether it was used";
            Problem::unknown(StatusCode::CONFLICT, "ticket-expired", detail)
        }
    }
}

fn owner_gone() -> Problem {
    let detail = "the entry that minted the ticket is gone";
    Problem::unknown(StatusCode::BAD_GATEWAY, "ticket-owner-gone", detail)
}

fn interrupted() -> Problem {
    let detail = "the call was interrupted";
    Problem::unknown(StatusCode::INTERNAL_SERVER_ERROR, "interrupted", detail)
}

fn json_response(value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}

fn forwarded_call(request: ServiceRequest, ticket: &Ticket) -> ForwardedCall {
    ForwardedCall {
        request_id: request.id,
        ticket: ticket.to_string(),
        service: request.path.service,
        method: request.method.to_string(),
        path: request.path.rest,
        headers: write_headers(&request.headers),
        body: request.body,
    }
}

fn write_headers(headers: &HeaderMap) -> Vec<ForwardedHeader> {
    headers
        .iter()
        .map(|(name, value)| ForwardedHeader {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

fn read_headers(headers: &[ForwardedHeader]) -> HeaderMap {
    headers
        .iter()
        .filter_map(|header| {
            let name = header::HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            let value = header::HeaderValue::from_bytes(&header.value).ok()?;
            Some((name, value))
        })
        .collect()
}

async fn forwarded_reply(response: Response<Body>) -> ForwardedReply {
    let (head, body) = response.into_parts();
    match Limited::new(body, FORWARDED_MAX_BYTES).collect().await {
        Ok(body) => ForwardedReply {
            status: head.status.as_u16(),
            headers: write_headers(&head.headers),
            body: body.to_bytes(),
        },
        Err(cause) => {
            let detail = cause.to_string();
            let problem = Problem::unknown(StatusCode::BAD_GATEWAY, "answer-cut", detail);
            ForwardedReply {
                status: problem.status.as_u16(),
                headers: Vec::new(),
                body: problem.to_json().into(),
            }
        }
    }
}

fn reply_response(reply: ForwardedReply) -> Response<Body> {
    let mut response = Response::new(Body::from(reply.body));
    let status = StatusCode::from_u16(reply.status);
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = read_headers(&reply.headers);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}
