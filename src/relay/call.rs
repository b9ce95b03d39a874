//! A caller's request, read whole, with the rules of its route.

use {
    super::{CallHead, Refusal, Relay},
    crate::{
        http::{ReadError, read_body, remove_connection_headers},
        routing::stable_hash,
        traffic::{CallerLimits, Route, RouteKind, RouteTable, ServiceId},
    },
    bytes::Bytes,
    hyper::{
        HeaderMap, Method, Request, Uri,
        body::Incoming,
        header,
        http::{request::Parts, uri::PathAndQuery},
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// Callers give a silent stream up after the longest of this time ...
const PATIENCE_MIN_MS: u64 = 2000;

/// ... so many times the time within which the first event has its full worth ...
const PATIENCE_TARGETS: u64 = 4;

/// ... and so many times the longest pause that is on time.
const PATIENCE_GAPS: u64 = 8;

/// The part of that time that is left for a refusal to arrive.
const PATIENCE_RESERVE_MS: u64 = 100;

/// A request that is to be forwarded.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) head: CallHead,
    pub(super) rules: CallRules,
    /// When the next event is due for its full worth.
    pub(super) target_at: Instant,
    /// Since when its caller waits for an event.
    pub(super) waits_since: Instant,
    /// When it gets its final answer at the latest.
    pub(super) ends_at: Instant,
}

/// What the configuration says of a request.
#[derive(Debug, Clone)]
pub(super) struct CallRules {
    pub(super) service: ServiceId,
    /// The connections that one runner takes from all nodes.
    pub(super) connections_max: usize,
    pub(super) kind: RouteKind,
    pub(super) priority: u8,
    pub(super) attempts_max: u32,
    /// How long the caller waits for an event before it gives the request up.
    pub(super) patience: Duration,
}

impl Call {
    /// Returns what is left of the time.
    pub(super) fn left(&self) -> Duration {
        self.ends_at.saturating_duration_since(Instant::now())
    }

    pub(super) fn is_repeatable(&self) -> bool {
        self.rules.kind.is_retryable()
    }

    /// Returns how long its caller waits for the next part of its answer.
    pub(super) fn patience(&self) -> Duration {
        self.rules.patience.min(self.left())
    }

    /// Begins to wait for the next event of a stream that broke.
    ///
    /// More is lost with a stream that has begun than with one that has not, so it goes first.
    pub(super) fn wait_anew(&mut self) {
        self.waits_since = Instant::now();
        self.target_at = self.give_up_at();
        self.rules.priority = 0;
    }

    /// Returns when it is of no more use that a runner takes the request.
    pub(super) fn give_up_at(&self) -> Instant {
        self.ends_at.min(self.waits_since + self.rules.patience)
    }

    /// Returns the event after which the caller wants a stream to go on.
    pub(super) fn resumes_after(&self) -> Option<u64> {
        self.head.last_event_id.filter(|_| self.is_repeatable())
    }

    /// Frees what is only needed to send the request again.
    pub(super) fn forget_request(&mut self) {
        self.headers = HeaderMap::new();
        self.body = Bytes::new();
    }

    pub(super) fn is_stream(&self) -> bool {
        matches!(self.rules.kind, RouteKind::Streaming { .. })
    }
}

impl Relay {
    /// Finds the route of a request and reads the request whole.
    pub(super) async fn read_call(
        &self,
        request: Request<Incoming>,
        arrived_at: Instant,
    ) -> Result<Call, Refusal> {
        let Some(map) = self.traffic.current() else {
            return Err(Refusal::NoConfiguration);
        };
        let (parts, body) = request.into_parts();
        let path = origin_form(&parts.uri)?;
        let host = host(&parts).ok_or(Refusal::BadRequest("the request names no host"))?;
        let route = map.find_route(host, path.path()).ok_or(Refusal::NoRoute)?;
        let head = self
            .formats
            .read_request_head(&parts)
            .map_err(Refusal::BadHead)?;
        let limits = map.config().limits;
        let timeout_ms = head.deadline_ms.map_or(route.timeout_ms, |deadline_ms| {
            deadline_ms.min(route.timeout_ms)
        });
        let ends_at = arrived_at + Duration::from_millis(timeout_ms);
        let target_at = arrived_at + Duration::from_millis(route.target_latency_ms);
        let rules = rules(&map, route, &head);
        let body = read_whole(body, &limits, ends_at).await?;
        Ok(Call {
            method: parts.method,
            uri: Uri::from(path),
            headers: forwarded_headers(parts.headers),
            body,
            head,
            rules,
            target_at,
            waits_since: arrived_at,
            ends_at,
        })
    }
}

fn rules(map: &RouteTable, route: &Route, head: &CallHead) -> CallRules {
    let service = pick_target(route, &head.request_id);
    let spec = map.config().service(&service);
    CallRules {
        connections_max: spec.map_or(usize::MAX, |spec| spec.connections_max),
        service,
        kind: route.kind,
        priority: route.priority,
        attempts_max: route.attempts_max,
        patience: patience(route),
    }
}

/// Returns how long a caller waits for an event of a stream, less the way to it.
fn patience(route: &Route) -> Duration {
    let RouteKind::Streaming { gap_target_ms, .. } = route.kind else {
        return Duration::from_millis(route.timeout_ms);
    };
    let for_target_ms = PATIENCE_TARGETS * route.target_latency_ms;
    let for_gap_ms = PATIENCE_GAPS * gap_target_ms;
    let patience_ms = PATIENCE_MIN_MS.max(for_target_ms).max(for_gap_ms);
    Duration::from_millis(patience_ms - PATIENCE_RESERVE_MS)
}

/// Picks a target by the weights, the same for the same id.
fn pick_target(route: &Route, request_id: &[u8]) -> ServiceId {
    let first = &route.targets[0];
    if route.targets.len() == 1 {
        return first.service.clone();
    }
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let mut drawn = stable_hash(&String::from_utf8_lossy(request_id)) % total.max(1);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if drawn < weight {
            return target.service.clone();
        }
        drawn -= weight;
    }
    first.service.clone()
}

async fn read_whole(
    body: Incoming,
    limits: &CallerLimits,
    ends_at: Instant,
) -> Result<Bytes, Refusal> {
    let left = ends_at.saturating_duration_since(Instant::now());
    let read = read_body(body, limits.body_max_bytes, left).await;
    read.map_err(|cause| match cause {
        ReadError::TooLarge { .. } => Refusal::BodyTooLarge,
        ReadError::TooSlow => Refusal::BodyTooSlow,
        ReadError::Cut(_) => Refusal::BadRequest("the body cannot be read"),
    })
}

fn origin_form(uri: &Uri) -> Result<PathAndQuery, Refusal> {
    let path = uri.path_and_query().cloned();
    path.ok_or(Refusal::BadRequest("the request names no path"))
}

fn host(parts: &Parts) -> Option<&str> {
    if let Some(host) = parts.uri.host() {
        return Some(host);
    }
    let mut values = parts.headers.get_all(header::HOST).iter();
    let host = values.next()?.to_str().ok()?;
    values.next().is_none().then_some(host)
}

/// Keeps what goes on to a runner; the body is framed anew.
fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    let host = headers.remove(header::HOST);
    remove_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    if let Some(host) = host {
        headers.insert(header::HOST, host);
    }
    headers
}
