//! Forwarding of calls whose ticket was minted by another entry, on both sides.

use {
    super::{ForwardedCall, ForwardedHeader, ForwardedReply},
    crate::{
        entry::{
            Entry, KeyDecision, ServicePath, ServiceRequest, Ticket, key_problem, ticket_owner_gone,
        },
        http::{Body, Problem},
        membership::Member,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Limited},
    hyper::{HeaderMap, Method, Response, StatusCode, header},
    std::sync::Arc,
    tokio::time,
};

/// The largest response body that is passed between entries, in bytes.
const FORWARDED_RESPONSE_MAX_BYTES: usize = 4 * 1024 * 1024;

impl Entry {
    /// Forwards a call to the entry that minted its ticket, and returns that entry's response.
    pub(in crate::entry) async fn forward(
        &self,
        request: ServiceRequest,
        ticket: &Ticket,
    ) -> Result<Response<Body>, Problem> {
        let routes = self.routes.current();
        let Some(member) = find_member(&routes.view.members, ticket) else {
            return Err(ticket_owner_gone());
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
            Err(_) => Err(ticket_owner_gone()),
        }
    }

    /// Dispatches a call that another entry forwarded, since this entry minted its ticket.
    pub async fn handle_forwarded(self: &Arc<Self>, call: ForwardedCall) -> ForwardedReply {
        let result = self.run_forwarded(call).await;
        let response = result.unwrap_or_else(Problem::into_response);
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
        let _open_request = self.acquire_open_request()?;
        let method = Method::from_bytes(call.method.as_bytes()).map_err(|_| malformed())?;
        let ticket: Ticket = call.ticket.parse().map_err(|_| malformed())?;
        let path = ServicePath {
            service: call.service,
            backend_path: call.path,
        };
        let headers = read_headers(&call.headers);
        let routes = self.routes.current();
        let request =
            ServiceRequest::new(call.request_id, path, method, headers, call.body, &routes)?;
        let service = request.path.service.clone();
        let decision = self
            .keys
            .acquire(&service, &ticket.to_string(), request.id)
            .await;
        match decision {
            KeyDecision::Dispatch(held) => self.dispatch_held(request, held).await,
            KeyDecision::Forward(_) => Err(ticket_owner_gone()),
            refused => Err(key_problem(&refused)),
        }
    }
}

fn find_member<'a>(members: &'a [Member], ticket: &Ticket) -> Option<&'a Member> {
    members.iter().find(|member| member.vm == ticket.vm)
}

fn forwarded_call(request: ServiceRequest, ticket: &Ticket) -> ForwardedCall {
    ForwardedCall {
        request_id: request.id,
        ticket: ticket.to_string(),
        service: request.path.service,
        method: request.method.to_string(),
        path: request.path.backend_path,
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
    match Limited::new(body, FORWARDED_RESPONSE_MAX_BYTES)
        .collect()
        .await
    {
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
