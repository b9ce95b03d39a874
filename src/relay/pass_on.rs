//! Requests that another node serves, as this one does not reach their runners.
//!
//! A request is passed on once at most, and only if no runner may have run it.

use {
    super::{Call, CallerResponse, Cutoff, ForwardedCall, Refusal, Relay, peer_reach::PeerReach},
    crate::{
        http::{
            Body, BodyError, Exchange, ReadError, SendError, is_problem, read_body,
            remove_connection_headers,
        },
        leader::PeerNode,
        traffic::ServiceId,
    },
    bytes::Bytes,
    futures::{StreamExt, stream},
    http_body_util::BodyExt,
    hyper::{
        HeaderMap, Request, Response, StatusCode,
        body::Incoming,
        header::{self, HeaderName, HeaderValue},
    },
    std::{
        sync::{Arc, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::{self, Instant},
};

/// Marks a request that a peer passed on; the value is the time left, in milliseconds.
pub const PASSED_ON: HeaderName = HeaderName::from_static("ggt-passed-on");

/// Marks the refusal of a request that was passed on to a node which reaches no runner either.
const OUT_OF_REACH: HeaderName = HeaderName::from_static("ggt-out-of-reach");

/// The longest wait for a connection to a peer.
pub(super) const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The largest problem of a peer that is read.
const PROBLEM_MAX_BYTES: usize = 16 * 1024;

impl ForwardedCall {
    /// Lets another node serve the request.
    ///
    /// # Errors
    ///
    /// Returns `refusal` if no other node reaches the runners, or that the request may have run if
    /// the response of another node is lost.
    pub(super) async fn pass_on(&mut self, refusal: Refusal) -> Result<CallerResponse, Refusal> {
        let service = self.call.rules.service.clone();
        for peer in self.relay.peers_to_ask(&service) {
            let Some(request) = passed_on_request(&self.call) else {
                return Err(refusal);
            };
            // Recorded before it is sent, as this future may be dropped at any time from here on.
            let before = self.progress.record_sending();
            let sent = self.relay.peer_client().send(peer.control_address, request);
            match time::timeout_at(self.call.deadline, sent).await {
                Ok(Ok(exchange)) if self.is_of_library(&exchange.response) => {
                    let (name, status) = (&peer.name, exchange.response.status());
                    log::debug!(peer:% = name; "relay: a peer does not accept a request: {status}");
                    // A runner may have given such a response too.
                    if !self.call.is_retryable() {
                        return Err(Refusal::RunnerFailed);
                    }
                }
                Ok(Ok(exchange)) => {
                    let is_out = exchange.response.headers().contains_key(OUT_OF_REACH);
                    self.relay.record_peer_reach(&peer, &service, !is_out);
                    if !is_out {
                        self.relay.counters.passed_on.count();
                        if is_problem(exchange.response.headers()) {
                            return read_problem(exchange, self.call.left()).await;
                        }
                        let end_requests = &self.relay.end_requests;
                        let cutoff = Cutoff::new(end_requests, self.call.deadline);
                        return Ok(passed_on_response(exchange, cutoff));
                    }
                    self.progress.record_not_run(before);
                }
                Ok(Err(SendError::Broken(cause))) => {
                    log::debug!(peer:% = peer.name; "relay: a response of a peer is lost: {cause}");
                    return Err(Refusal::RunnerFailed);
                }
                Ok(Err(cause)) => {
                    log::debug!(peer:% = peer.name; "relay: a peer is not reached: {cause}");
                    self.progress.record_unsent(before);
                    self.relay.record_peer_reach(&peer, &service, false);
                }
                Err(_) => return Err(Refusal::TimedOut),
            }
        }
        Err(refusal)
    }

    /// Returns whether the HTTP library of a peer responded, which rejects requests by limits of
    /// that node, and neither its relay nor a runner.
    fn is_of_library(&self, response: &Response<Incoming>) -> bool {
        let is_rejection = matches!(
            response.status(),
            StatusCode::BAD_REQUEST
                | StatusCode::REQUEST_TIMEOUT
                | StatusCode::PAYLOAD_TOO_LARGE
                | StatusCode::URI_TOO_LONG
                | StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
                | StatusCode::HTTP_VERSION_NOT_SUPPORTED
        );
        if !is_rejection || is_problem(response.headers()) {
            return false;
        }
        let (mut parts, ()) = Response::new(()).into_parts();
        parts.status = response.status();
        parts.headers = response.headers().clone();
        let head = self.relay.formats.read_response_head(&parts);
        head.request_id.is_none() && !head.is_signed && !head.not_executed
    }
}

impl Relay {
    /// Serves a request that a peer passed on.
    pub async fn serve_passed_on(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        if self.drain_started_at.get().is_some() {
            return self.refuse(&Refusal::not_run());
        }
        self.handle_of_any(request).await
    }

    /// Returns the peers that may serve a request of a service.
    fn peers_to_ask(&self, service: &ServiceId) -> Vec<PeerNode> {
        let peers = self.peers.borrow().clone();
        let reach = self.peer_reach();
        reach.peers_to_ask(peers, service, self.dispatcher.zone(), Instant::now())
    }

    /// Records whether a peer reaches the runners of a service.
    fn record_peer_reach(&self, peer: &PeerNode, service: &ServiceId, reaches: bool) {
        let (now, peers_count) = (Instant::now(), self.peers.borrow().len());
        let is_out_everywhere = {
            let mut reach = self.peer_reach();
            reach.record(&peer.name, service, reaches, now);
            reach.is_out_everywhere(peers_count, service, now)
        };
        if is_out_everywhere {
            self.dispatcher.record_others_out(service);
        }
    }

    fn peer_reach(&self) -> MutexGuard<'_, PeerReach> {
        self.peer_reach
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether another node may serve a request.
    pub(super) fn has_peers(&self) -> bool {
        !self.peers.borrow().is_empty()
    }

    /// Marks the refusal of a request that was passed on if this node reaches no runner either.
    pub(super) fn mark_out_of_reach(&self, call: &Call, response: &mut Response<Body>) {
        if call.is_passed_on && self.dispatcher.is_out_of_reach(&call.rules.service) {
            let value = HeaderValue::from_static("1");
            response.headers_mut().insert(OUT_OF_REACH, value);
        }
    }
}

/// Reads the whole problem that a peer responds with.
///
/// A peer that gives up does so at the deadline, where a body that is forwarded in parts is cut
/// and takes the head with it.
///
/// # Errors
///
/// Returns that the request may have run if the response is lost or too late.
async fn read_problem(exchange: Exchange, left: Duration) -> Result<CallerResponse, Refusal> {
    let (mut head, body) = exchange.response.into_parts();
    match read_body(body, PROBLEM_MAX_BYTES, left).await {
        Ok(body) => {
            exchange.connection.recycle();
            remove_connection_headers(&mut head.headers);
            head.extensions.clear();
            head.headers.remove(header::CONTENT_LENGTH);
            let response = Response::from_parts(head, Body::from(body));
            Ok(CallerResponse::Plain(response))
        }
        Err(ReadError::TooSlow) => Err(Refusal::TimedOut),
        Err(_) => Err(Refusal::RunnerFailed),
    }
}

/// Returns the response of a peer for the caller.
fn passed_on_response(exchange: Exchange, cutoff: Cutoff) -> CallerResponse {
    let (mut head, body) = exchange.response.into_parts();
    remove_connection_headers(&mut head.headers);
    head.extensions.clear();
    head.headers.remove(header::CONTENT_LENGTH);
    let state = Some((body, exchange.connection, cutoff));
    let chunks = stream::unfold(state, |state| async {
        let (mut body, connection, mut cutoff) = state?;
        match cutoff.next(next_data(&mut body)).await {
            Ok(Some(Ok(data))) => Some((Ok(data), Some((body, connection, cutoff)))),
            Ok(Some(Err(cause))) => Some((Err(BodyError(cause.to_string())), None)),
            Ok(None) => {
                connection.recycle();
                None
            }
            Err(reason) => Some((Err(BodyError(reason)), None)),
        }
    });
    CallerResponse::Plain(Response::from_parts(head, Body::Stream(chunks.boxed())))
}

/// Removes the mark of a request that a peer passed on; returns the time left.
pub(super) fn take_passed_on(headers: &mut HeaderMap) -> Option<Duration> {
    let left_ms = headers.remove(PASSED_ON)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(left_ms))
}

fn passed_on_request(call: &Call) -> Option<Request<Body>> {
    let left = call.deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return None;
    }
    let mut request = Request::new(Body::from(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let left_ms = left.as_millis() as u64;
    request.headers_mut().insert(PASSED_ON, left_ms.into());
    Some(request)
}

/// Returns the next bytes of a body; `None` at its end.
async fn next_data(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    return Some(Ok(data));
                }
            }
            Err(cause) => return Some(Err(cause)),
        }
    }
}
