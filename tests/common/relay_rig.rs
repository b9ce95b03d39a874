//! A relay over real sockets, runners that follow a script, and raw callers.

#![allow(dead_code)]

use {
    super::fake_backend::{FakeBackend, Received, Step},
    greengagetrail::{
        discovery::{RunnerEntry, RunnerKey, RunnerState},
        dispatch::{Dispatcher, RunnerRegistry},
        leader::PeerNode,
        node::{Bounds, FormatError, Formats, StoreKeys},
        relay::{ForwardHead, ForwardedWorkspace, HeadError, Relay, RequestHead, ResponseHead},
        telemetry::TimerLag,
        traffic::{
            ActiveConfig, CallerLimits, ConfigVersion, Route, RouteKind, RouteTable, RouteTarget,
            ServiceId, ServiceSpec, TrafficConfig,
        },
        workspaces::{AccessKey, WorkspaceDirectory},
    },
    hyper::{HeaderMap, header::HeaderName, http},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinHandle,
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
};

/// The timeout of waits for something that must happen.
pub const WAIT_MAX: Duration = Duration::from_secs(10);

pub const RESUMABLE: RouteKind = RouteKind::Streaming {
    resumable: true,
    gap_target_ms: 250,
};

pub const STREAM_ONCE: RouteKind = RouteKind::Streaming {
    resumable: false,
    gap_target_ms: 250,
};

/// The header that reaches runners even if a caller names it in `Connection`.
static END_TO_END: [HeaderName; 1] = [HeaderName::from_static("x-request-id")];

/// Runs while the head of a request for a runner is written, right before it is sent.
pub type ForwardHook = Arc<dyn Fn(&ForwardHead) + Send + Sync>;

/// The header names in the tests.
#[derive(Default)]
struct TestFormats {
    hook: Arc<Mutex<Option<ForwardHook>>>,
}

impl Formats for TestFormats {
    fn keys(&self) -> StoreKeys {
        unimplemented!()
    }

    fn read_config(&self, _bytes: &[u8]) -> Result<TrafficConfig, FormatError> {
        unimplemented!()
    }

    fn read_runner(&self, _key: &str, _bytes: &[u8]) -> Result<RunnerEntry, FormatError> {
        unimplemented!()
    }

    fn read_request_head(&self, head: &http::request::Parts) -> Result<RequestHead, HeadError> {
        let id = head
            .headers
            .get("x-request-id")
            .ok_or(HeadError::MissingRequestId)?;
        Ok(RequestHead {
            request_id: id.as_bytes().to_vec().into(),
            deadline_ms: number(&head.headers, "x-deadline-ms"),
            last_event_id: number(&head.headers, "last-event-id"),
            resumes: head
                .headers
                .get("resumes")
                .map(|id| id.as_bytes().to_vec().into()),
            generation: None,
            stated_tokens: None,
            key: head
                .headers
                .get("x-key")
                .map(|key| AccessKey::new(key.as_bytes())),
        })
    }

    fn write_forward_headers(&self, headers: &mut HeaderMap, forward: &ForwardHead) {
        let hook = self.hook.lock().unwrap().clone();
        if let Some(hook) = hook {
            hook(forward);
        }
        headers.remove("x-hold");
        if forward.workspace != ForwardedWorkspace::Unused {
            headers.remove("x-key");
            headers.remove("x-workspace");
        }
        if let ForwardedWorkspace::Named(name) = &forward.workspace {
            headers.insert("x-workspace", name.as_str().parse().unwrap());
        }
        headers.insert("x-runner", forward.runner.id.as_str().parse().unwrap());
        headers.insert("x-deadline-ms", forward.deadline_ms.into());
        if let Some(id) = forward.last_event_id {
            headers.insert("last-event-id", id.into());
        }
    }

    fn end_to_end_headers(&self) -> &[HeaderName] {
        &END_TO_END
    }

    fn read_response_head(&self, head: &http::response::Parts) -> ResponseHead {
        let id = head.headers.get("x-request-id");
        ResponseHead {
            request_id: id.map(|id| id.as_bytes().to_vec().into()),
            is_signed: head.headers.contains_key("x-signature"),
            not_executed: head.headers.contains_key("x-not-executed"),
            runner: None,
            keep_alive_s: number(&head.headers, "x-idle-s"),
            limit: None,
            rejections_per_s: None,
            is_leaving: head.headers.contains_key("x-leaving"),
        }
    }

    fn write_retry_after(&self, headers: &mut HeaderMap, after_ms: u64) {
        headers.insert("x-retry-after-ms", after_ms.into());
    }
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// The parameters that differ between tests.
#[derive(Clone)]
pub struct Setup {
    pub kind: RouteKind,
    pub runners: usize,
    /// The weights of the services; runners are assigned to the services in turn.
    pub weights: Vec<u32>,
    /// The software versions, which the runners have in turn.
    pub software: Vec<&'static str>,
    /// The number of requests that a runner processes at the same time.
    pub slots: u32,
    pub attempts_max: u32,
    pub timeout_ms: u64,
    pub target_latency_ms: u64,
    pub retry_budget_slack: f64,
    pub limits: CallerLimits,
    pub configured: bool,
    pub workspaces: WorkspaceDirectory,
}

impl Setup {
    pub fn new(kind: RouteKind) -> Self {
        Self {
            kind,
            runners: 3,
            weights: vec![1],
            software: vec!["v1"],
            slots: 8,
            attempts_max: 3,
            timeout_ms: 3000,
            target_latency_ms: 1000,
            retry_budget_slack: 50.0,
            limits: CallerLimits {
                head_max_bytes: 16_384,
                body_max_bytes: 100_000,
                head_timeout_ms: 1000,
                idle_timeout_ms: 1000,
            },
            configured: true,
            workspaces: WorkspaceDirectory::default(),
        }
    }

    /// Returns the software version of a runner.
    pub fn software_of(&self, runner: usize) -> &'static str {
        self.software[runner % self.software.len()]
    }
}

/// A relay with its runners.
pub struct RelayRig {
    pub address: SocketAddr,
    pub relay: Arc<Relay>,
    pub runners: Vec<FakeBackend>,
    pub registry: Arc<RunnerRegistry>,
    pub traffic: Arc<ActiveConfig>,
    /// The entries of the runners as they were at first.
    entries: Vec<RunnerEntry>,
    hook: Arc<Mutex<Option<ForwardHook>>>,
    pub stop: CancellationToken,
    pub served: JoinHandle<bool>,
}

impl RelayRig {
    /// Starts runners that follow one script; the script gets the number of the attempt over all.
    pub async fn start(
        setup: Setup,
        script: impl Fn(usize, &Received) -> Vec<Step> + Clone + Send + Sync + 'static,
    ) -> Self {
        let tries = Arc::new(AtomicUsize::new(0));
        let mut runners = Vec::new();
        for _ in 0..setup.runners {
            let (tries, script) = (tries.clone(), script.clone());
            let follow =
                move |received: &Received| script(tries.fetch_add(1, Ordering::SeqCst), received);
            runners.push(FakeBackend::start(follow).await);
        }
        let addresses: Vec<_> = runners.iter().map(|runner| runner.address).collect();
        Self::over(setup, runners, &addresses).await
    }

    /// Starts a relay over runners at given addresses.
    pub async fn over(setup: Setup, runners: Vec<FakeBackend>, at: &[SocketAddr]) -> Self {
        let peers = watch::Sender::new(Vec::new()).subscribe();
        Self::among(setup, runners, at, peers).await
    }

    /// Starts a relay over runners at given addresses, with peers.
    pub async fn among(
        setup: Setup,
        runners: Vec<FakeBackend>,
        at: &[SocketAddr],
        peers: watch::Receiver<Vec<PeerNode>>,
    ) -> Self {
        let traffic = Arc::new(ActiveConfig::default());
        if setup.configured {
            traffic.activate_if_newer(RouteTable::new(config(&setup), bytes::Bytes::new()));
        }
        let registry = Arc::new(RunnerRegistry::new("z".into(), traffic.clone()));
        let entries: Vec<_> = at.iter().enumerate().map(|at| entry(at, &setup)).collect();
        registry.set_runners(entries.clone());
        let dispatcher = Dispatcher::new(registry.clone());
        let formats = TestFormats::default();
        let hook = formats.hook.clone();
        let formats = Arc::new(formats);
        let timer_lag = Arc::<TimerLag>::default();
        tokio::spawn(timer_lag.clone().run());
        let relay = Relay::new(
            traffic.clone(),
            dispatcher,
            formats,
            bounds(&setup),
            peers,
            timer_lag,
        );
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let stop = CancellationToken::new();
        let served = tokio::spawn(relay.clone().serve(listener, stop.clone()));
        Self {
            address,
            relay,
            runners,
            registry,
            traffic,
            entries,
            hook,
            stop,
            served,
        }
    }

    /// Returns the requests that reached runners.
    pub fn received(&self) -> Vec<Received> {
        let received = self.runners.iter().flat_map(FakeBackend::received);
        received.collect()
    }

    pub async fn caller(&self) -> RawCaller {
        RawCaller::connect(self.address).await
    }

    /// Sends one request on a connection of its own.
    pub async fn call(&self, headers: &str) -> Answer {
        self.call_as("q", headers).await
    }

    /// Sends one request with the given id on a connection of its own.
    pub async fn call_as(&self, id: &str, headers: &str) -> Answer {
        let mut caller = self.caller().await;
        caller.send_as(id, headers, "").await;
        caller.read().await
    }

    /// Runs `hook` before each request is sent to a runner.
    pub fn before_sending(&self, hook: impl Fn(&ForwardHead) + Send + Sync + 'static) {
        *self.hook.lock().unwrap() = Some(Arc::new(hook));
    }

    /// Lists all runners again.
    pub fn list_all_runners(&self) {
        self.registry.set_runners(self.entries.clone());
    }

    /// Removes a runner from the list.
    pub fn remove_runner(&self, runner: usize) {
        let key = &self.entries[runner].key;
        let listed = self.registry.runners().into_iter().map(|view| view.entry);
        let kept = listed.filter(|entry| entry.key != *key);
        self.registry.set_runners(kept.collect());
    }
}

fn config(setup: &Setup) -> TrafficConfig {
    let weights = setup.weights.iter().enumerate();
    let targets = weights.map(|(index, weight)| RouteTarget {
        service: service_name(index),
        weight: *weight,
    });
    let services = (0..setup.weights.len()).map(|index| ServiceSpec {
        name: service_name(index),
        connections_max: 100,
        engine: None,
    });
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/p/".into(),
        kind: setup.kind,
        timeout_ms: setup.timeout_ms,
        target_latency_ms: setup.target_latency_ms,
        priority: 0,
        attempts_max: setup.attempts_max,
        session_affinity: false,
        is_anonymous: false,
        targets: targets.collect(),
    };
    TrafficConfig {
        version: ConfigVersion(1),
        routes: vec![route],
        services: services.collect(),
        limits: setup.limits,
        workspaces: setup.workspaces.clone(),
    }
}

fn service_name(index: usize) -> ServiceId {
    format!("s{index}").as_str().into()
}

fn entry((index, address): (usize, &SocketAddr), setup: &Setup) -> RunnerEntry {
    RunnerEntry {
        key: RunnerKey {
            id: format!("i-{index}").as_str().into(),
            born_unix_ms: 1,
        },
        service: service_name(index % setup.weights.len()),
        address: *address,
        zone: "z".into(),
        slots: setup.slots,
        state: RunnerState::Ready,
        software: setup.software_of(index).into(),
        cold_remaining_ms: 0,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

fn bounds(setup: &Setup) -> Bounds {
    Bounds {
        drain_ms: 2000,
        grace_s: 2.0,
        config_apply_ms: 2000,
        retry_budget_ratio: 0.2,
        budget_window_s: 10.0,
        retry_budget_slack: setup.retry_budget_slack,
        lease_ms: 3000,
        thaw_slack_ms: 300,
        fencing_enforced: true,
        ceiling_window_s: 5.0,
        contact_ms: 3000,
        lease_min_ms: 1000,
        fail_closed: false,
        revoke_ms: None,
        quotas: Default::default(),
    }
}

/// The response that a caller received.
#[derive(Debug, PartialEq)]
pub struct Answer {
    /// 0 if the connection ended before the head.
    pub status: u16,
    pub head: String,
    pub body: String,
    pub complete: bool,
}

impl Answer {
    /// Returns the status, the body, and whether it is complete.
    pub fn parts(&self) -> (u16, &str, bool) {
        (self.status, &self.body, self.complete)
    }
}

/// A caller's connection.
pub struct RawCaller {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl RawCaller {
    pub async fn connect(address: SocketAddr) -> Self {
        Self {
            stream: TcpStream::connect(address).await.unwrap(),
            buffer: Vec::new(),
        }
    }

    /// Sends a request; `headers` are complete lines.
    pub async fn send(&mut self, headers: &str, body: &str) {
        self.send_as("q", headers, body).await;
    }

    /// Sends a request with the given id.
    pub async fn send_as(&mut self, id: &str, headers: &str, body: &str) {
        let length = body.len();
        let text = format!(
            "POST /p/x?y=1 HTTP/1.1\r\nhost: h\r\nx-request-id: {id}\r\n\
             content-length: {length}\r\n{headers}\r\n{body}"
        );
        self.write(&text).await;
    }

    pub async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads a response up to its end, or to the end of the connection.
    pub async fn read(&mut self) -> Answer {
        let Some(head) = self.take_until("\r\n\r\n").await else {
            return Answer {
                status: 0,
                head: String::new(),
                body: String::new(),
                complete: false,
            };
        };
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let (body, complete) = match length {
            Some(length) => self.take_length(length.parse().unwrap()).await,
            None => self.take_chunks().await,
        };
        Answer {
            status,
            head,
            body,
            complete,
        }
    }

    /// Returns whether the other end closes the connection within `wait`.
    pub async fn is_closed_within(&mut self, wait: Duration) -> bool {
        let mut byte = [0];
        matches!(
            timeout(wait, self.stream.read(&mut byte)).await,
            Ok(Ok(0) | Err(_))
        )
    }

    /// Reads until a text arrives; panics if the connection ends before.
    pub async fn read_text(&mut self, text: &str) {
        assert!(
            self.take_until(text).await.is_some(),
            "{text:?} did not arrive"
        );
    }

    async fn take_until(&mut self, text: &str) -> Option<String> {
        loop {
            let found = self
                .buffer
                .windows(text.len())
                .position(|part| part == text.as_bytes());
            if let Some(position) = found {
                let taken = self.buffer.drain(..position + text.len()).collect();
                return String::from_utf8(taken).ok();
            }
            if !self.fill().await {
                return None;
            }
        }
    }

    async fn take_length(&mut self, length: usize) -> (String, bool) {
        while self.buffer.len() < length && self.fill().await {}
        let complete = self.buffer.len() >= length;
        let taken = self.buffer.drain(..length.min(self.buffer.len())).collect();
        (String::from_utf8(taken).unwrap(), complete)
    }

    async fn take_chunks(&mut self) -> (String, bool) {
        let mut body = String::new();
        loop {
            let Some(line) = self.take_until("\r\n").await else {
                return (body, false);
            };
            let length = usize::from_str_radix(line.trim(), 16).unwrap();
            let (chunk, complete) = self.take_length(length + 2).await;
            if length == 0 || !complete {
                return (body, complete);
            }
            body += &chunk[..length];
        }
    }

    async fn fill(&mut self) -> bool {
        let read = timeout(WAIT_MAX, self.stream.read_buf(&mut self.buffer)).await;
        read.expect("no data arrived in time")
            .is_ok_and(|length| length > 0)
    }
}

/// Returns a signed response to a request.
pub fn signed(received: &Received, status: u16, headers: &str, body: &str) -> Vec<Step> {
    let length = body.len();
    with_head(
        received,
        status,
        &format!("x-signature: s\r\ncontent-length: {length}\r\n{headers}"),
        body,
    )
}

/// Returns a response with the request's id and the given headers.
pub fn with_head(received: &Received, status: u16, headers: &str, body: &str) -> Vec<Step> {
    let id = received.header("x-request-id").unwrap();
    let text = format!("HTTP/1.1 {status} S\r\nx-request-id: {id}\r\n{headers}\r\n{body}");
    vec![Step::send(text)]
}

/// Returns the head of a stream and its events `from..=to`, without the end of the body.
pub fn events(received: &Received, from: u64, to: u64) -> Vec<Step> {
    let headers =
        "x-signature: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    let mut steps = with_head(received, 200, headers, "");
    steps.extend((from..=to).map(|id| chunk(&event(id))));
    steps
}

pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: d{id}\n\n")
}

pub fn chunk(text: &str) -> Step {
    Step::send(format!("{:x}\r\n{text}\r\n", text.len()))
}

pub fn stream_end() -> Step {
    Step::send("0\r\n\r\n")
}
