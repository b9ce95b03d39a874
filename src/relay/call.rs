//! A caller's request, read completely, with the rules of its route.

use {
    super::{ForwardedWorkspace, Refusal, Relay, RequestHead, pass_on::take_passed_on},
    crate::{
        http::{ReadError, remove_connection_headers_except},
        quarantine::RequestDigest,
        routing::stable_hash,
        streams::StreamId,
        traffic::{CallerLimits, Route, RouteKind, RouteTable, ServiceId},
        workspaces::{AccessKey, FairShare, PriorityRank, Workspace},
    },
    bytes::Bytes,
    hyper::{
        HeaderMap, Method, Request, Uri,
        body::Incoming,
        header::{self, HeaderName, HeaderValue},
        http::{request::Parts, uri::PathAndQuery},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Callers abandon a stream without events after the longest of three times: this minimum ...
const CALLER_WAIT_MIN_MS: u64 = 2000;

/// ... this multiple of the route's target latency for the first event ...
const CALLER_WAIT_LATENCY_TARGETS: u64 = 4;

/// ... and this multiple of the route's target for the gap between events.
const CALLER_WAIT_GAP_TARGETS: u64 = 8;

/// The part of a caller's wait that is reserved for a refusal to arrive.
const REFUSAL_RESERVE_MS: u64 = 100;

/// A request to forward.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) head: RequestHead,
    /// Identifies the request if its caller sends it again.
    pub(super) digest: RequestDigest,
    pub(super) rules: CallRules,
    /// When the request arrived.
    pub(super) arrived_at: Instant,
    /// When the next event is due by the route's target.
    pub(super) target_at: Instant,
    /// Since when the caller waits for an event.
    pub(super) waiting_since: Instant,
    /// The deadline of the whole response.
    pub(super) deadline: Instant,
    /// Whether a peer passed the request on, as it reaches no runner.
    pub(super) is_passed_on: bool,
}

/// The rules of the configuration for a request.
#[derive(Debug, Clone)]
pub(super) struct CallRules {
    pub(super) service: ServiceId,
    /// The number of connections that one runner accepts from all nodes together.
    pub(super) connections_max: usize,
    pub(super) kind: RouteKind,
    pub(super) priority: PriorityRank,
    /// The priority if the request is beyond its workspace's fair share.
    pub(super) priority_beyond_share: PriorityRank,
    pub(super) attempts_max: u32,
    /// How long the caller waits for an event before it abandons the request.
    pub(super) caller_wait: Duration,
    pub(super) caller: CallerIdentity,
}

/// On whose behalf a request is sent.
#[derive(Debug, Clone)]
pub(super) enum CallerIdentity {
    /// The configuration has no workspaces.
    Unused,
    /// The route needs no key.
    Anonymous,
    /// The workspace of the caller's key.
    Workspace {
        workspace: Arc<Workspace>,
        key: AccessKey,
    },
}

impl CallerIdentity {
    /// Identifies the caller of a request.
    ///
    /// # Errors
    ///
    /// Fails if the route needs a key, and the request has none of a workspace or the configuration
    /// may be outdated.
    fn of(
        relay: &Relay,
        map: &RouteTable,
        route: &Route,
        head: &RequestHead,
    ) -> Result<Self, Refusal> {
        let workspaces = &map.config().workspaces;
        if workspaces.is_empty() {
            return Ok(Self::Unused);
        }
        if route.is_anonymous {
            return Ok(Self::Anonymous);
        }
        let checked = relay.check_config_age();
        checked.map_err(|_| Refusal::OldConfiguration)?;
        let key = head.key.ok_or(Refusal::UnknownKey)?;
        let workspace = workspaces.find(&key).ok_or(Refusal::UnknownKey)?.clone();
        Ok(Self::Workspace { workspace, key })
    }

    /// Returns the priority of the caller's workspace, if it has one.
    fn priority(&self) -> Option<u8> {
        match self {
            Self::Workspace { workspace, .. } => workspace.priority,
            Self::Unused | Self::Anonymous => None,
        }
    }

    /// Returns what a runner is told.
    pub(super) fn forwarded(&self) -> ForwardedWorkspace {
        match self {
            Self::Unused => ForwardedWorkspace::Unused,
            Self::Anonymous => ForwardedWorkspace::Anonymous,
            Self::Workspace { workspace, .. } => ForwardedWorkspace::Named(workspace.name.clone()),
        }
    }
}

impl Call {
    /// Returns the time left until the deadline.
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(super) fn is_retryable(&self) -> bool {
        self.rules.kind.is_retryable()
    }

    /// Returns how long the caller waits for the next part of the response.
    pub(super) fn remaining_wait(&self) -> Duration {
        self.rules.caller_wait.min(self.left())
    }

    /// Restarts the wait for the next event after a stream broke, at the highest priority.
    ///
    /// A broken stream loses more work than a request that did not start, so it goes first.
    pub(super) fn restart_wait(&mut self) {
        self.waiting_since = Instant::now();
        self.target_at = self.latest_start();
        self.rules.priority = PriorityRank::FIRST;
    }

    /// Returns the latest time at which a runner may still start the request.
    pub(super) fn latest_start(&self) -> Instant {
        self.deadline
            .min(self.waiting_since + self.rules.caller_wait)
    }

    /// Returns the id of the event after which the caller wants to resume a stream.
    pub(super) fn resume_after_id(&self) -> Option<u64> {
        self.head.last_event_id.filter(|_| self.is_retryable())
    }

    /// Returns the id of the stream that the caller resumes, if the caller names it.
    pub(super) fn resumed_stream(&self) -> Option<StreamId> {
        StreamId::of(self.head.resumes.as_ref()?)
    }

    /// Returns whether the caller resumes a stream.
    pub(super) fn is_resumed(&self) -> bool {
        self.is_stream() && self.head.last_event_id.is_some()
    }

    /// Frees the headers and the body, which only another attempt needs.
    pub(super) fn free_request(&mut self) {
        self.headers = HeaderMap::new();
        self.body = Bytes::new();
    }

    pub(super) fn is_stream(&self) -> bool {
        matches!(self.rules.kind, RouteKind::Streaming { .. })
    }
}

impl Relay {
    /// Finds the route of a request and reads the whole body.
    ///
    /// # Errors
    ///
    /// Returns the refusal for a request without a route, or one that is invalid, too large or late.
    pub(super) async fn read_call(
        &self,
        request: Request<Incoming>,
        arrived_at: Instant,
    ) -> Result<Call, Refusal> {
        let Some(map) = self.traffic.current() else {
            return Err(Refusal::NoConfiguration);
        };
        let (mut parts, body) = request.into_parts();
        let passed_on = take_passed_on(&mut parts.headers);
        let path = origin_form(&parts.uri)?;
        let host = host(&parts).ok_or(Refusal::BadRequest("the request names no host"))?;
        let route = map.find_route(host, path.path()).ok_or(Refusal::NoRoute)?;
        let head = self
            .formats
            .read_request_head(&parts)
            .map_err(Refusal::InvalidHead)?;
        let limits = map.config().limits;
        let timeout_ms = head.deadline_ms.map_or(route.timeout_ms, |deadline_ms| {
            deadline_ms.min(route.timeout_ms)
        });
        let timeout = Duration::from_millis(timeout_ms);
        let deadline = arrived_at + passed_on.map_or(timeout, |left| left.min(timeout));
        let target_at = arrived_at + Duration::from_millis(route.target_latency_ms);
        let caller = CallerIdentity::of(self, &map, route, &head)?;
        let rules = call_rules(&map, route, &head, caller);
        let body = self.read_request_body(body, &limits, deadline).await?;
        let digest = request_digest(&parts, host, &path, &body);
        Ok(Call {
            method: parts.method,
            uri: Uri::from(path),
            headers: forwarded_headers(parts.headers, self.formats.end_to_end_headers()),
            body,
            head,
            digest,
            rules,
            arrived_at,
            target_at,
            waiting_since: arrived_at,
            deadline,
            is_passed_on: passed_on.is_some(),
        })
    }

    async fn read_request_body(
        &self,
        body: Incoming,
        limits: &CallerLimits,
        deadline: Instant,
    ) -> Result<Bytes, Refusal> {
        let left = deadline.saturating_duration_since(Instant::now());
        let read = self.memory.read_body(body, limits.body_max_bytes, left);
        read.await.map_err(|cause| match cause {
            ReadError::TooLarge { .. } => Refusal::BodyTooLarge,
            ReadError::TooSlow => Refusal::BodyTooSlow,
            ReadError::NoMemory => Refusal::NoBodyMemory,
            ReadError::Cut(_) => Refusal::BadRequest("the body cannot be read"),
        })
    }
}

fn call_rules(
    map: &RouteTable,
    route: &Route,
    head: &RequestHead,
    caller: CallerIdentity,
) -> CallRules {
    // A resumed stream goes on at the service that began it.
    let resumes = head
        .resumes
        .as_ref()
        .filter(|_| head.last_event_id.is_some());
    let service = pick_target(route, resumes.unwrap_or(&head.request_id));
    let rank = |share| {
        map.priorities()
            .rank(caller.priority(), route.priority, share)
    };
    let spec = map.config().service(&service);
    CallRules {
        connections_max: spec.map_or(usize::MAX, |spec| spec.connections_max),
        service,
        kind: route.kind,
        priority: rank(FairShare::Within),
        priority_beyond_share: rank(FairShare::Beyond),
        attempts_max: route.attempts_max,
        caller_wait: caller_wait(route),
        caller,
    }
}

/// Returns how long a caller waits for an event, less the time for a refusal to arrive.
fn caller_wait(route: &Route) -> Duration {
    let RouteKind::Streaming { gap_target_ms, .. } = route.kind else {
        return Duration::from_millis(route.timeout_ms);
    };
    let for_target_ms = CALLER_WAIT_LATENCY_TARGETS * route.target_latency_ms;
    let for_gap_ms = CALLER_WAIT_GAP_TARGETS * gap_target_ms;
    let wait_ms = CALLER_WAIT_MIN_MS.max(for_target_ms).max(for_gap_ms);
    Duration::from_millis(wait_ms - REFUSAL_RESERVE_MS)
}

/// Picks a target by weight; the same request id always gets the same target.
fn pick_target(route: &Route, request_id: &[u8]) -> ServiceId {
    let first = &route.targets[0];
    if route.targets.len() == 1 {
        return first.service.clone();
    }
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let mut remaining = stable_hash(&String::from_utf8_lossy(request_id)) % total.max(1);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if remaining < weight {
            return target.service.clone();
        }
        remaining -= weight;
    }
    first.service.clone()
}

/// Returns the digest of a request, in which neither its id nor the time left counts.
///
/// Method and query count, as a crash under one request says nothing about another one.
fn request_digest(parts: &Parts, host: &str, path: &PathAndQuery, body: &[u8]) -> RequestDigest {
    let credentials = parts.headers.get(header::AUTHORIZATION);
    RequestDigest::of(&[
        parts.method.as_str().as_bytes(),
        host.as_bytes(),
        path.as_str().as_bytes(),
        credentials.map_or(&[], HeaderValue::as_bytes),
        body,
    ])
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

/// Removes the headers that concern the caller's connection; the body is framed again.
fn forwarded_headers(mut headers: HeaderMap, end_to_end: &[HeaderName]) -> HeaderMap {
    let host = headers.remove(header::HOST);
    remove_connection_headers_except(&mut headers, end_to_end);
    headers.remove(header::CONTENT_LENGTH);
    if let Some(host) = host {
        headers.insert(header::HOST, host);
    }
    headers
}
