//! The relay of a node, which serves the callers' port.

use {
    super::{
        AttemptProgress, Call, CallerIdentity, CancellationGuard, ConnectionPool, ForwardedCall,
        KeyCheck, ProbedRunners, Refusal, RelayCounters, RetryBudget,
        pass_on::{PASSED_ON, PEER_CONNECT_TIMEOUT},
        peer_reach::PeerReach,
        serve::GRACE_RESERVE,
        usual_times::UsualTimes,
    },
    crate::{
        discovery::RunnerKey,
        dispatch::Dispatcher,
        freshness::{ConfigAge, ConfigTooOld},
        http::{Body, Client, Liveness, RetryAfterError},
        leader::PeerNode,
        node::{Bounds, Formats},
        quotas::QuotaExchange,
        request_memory::{MemoryLimits, RequestMemory},
        security::Tls,
        telemetry::TimerLag,
        traffic::{ActiveConfig, ServiceId},
    },
    hyper::{Request, Response, body::Incoming, header},
    std::{
        fmt,
        sync::{
            Arc, Mutex, OnceLock, PoisonError,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::watch, time::Instant},
    tokio_util::sync::CancellationToken,
};

/// Accepts callers' requests and forwards them to runners.
pub struct Relay {
    pub(super) traffic: Arc<ActiveConfig>,
    /// The age of the configuration; without it, a configuration of any age serves keys.
    config_age: OnceLock<Arc<ConfigAge>>,
    pub(super) dispatcher: Dispatcher,
    pub(super) formats: Arc<dyn Formats>,
    pub(super) peers: watch::Receiver<Vec<PeerNode>>,
    pub(super) pool: Arc<ConnectionPool>,
    /// For requests that are passed on to peers.
    pub(super) peer_client: OnceLock<Client>,
    /// Which peers reach the runners of a service.
    pub(super) peer_reach: Mutex<PeerReach>,
    /// Whether this node reaches no runner, so that callers should connect to another.
    is_cut_off: AtomicBool,
    pub(super) probed_runners: ProbedRunners,
    pub(super) budget: RetryBudget,
    /// What workspaces may use; `None` where quotas are not kept.
    pub(super) quotas: OnceLock<Arc<QuotaExchange>>,
    pub(super) counters: RelayCounters,
    /// How long requests in flight may continue after a planned stop began.
    grace: Mutex<Duration>,
    /// The memory for the bodies of requests and responses.
    pub(super) memory: RequestMemory,
    /// The most connections that callers may have open.
    callers_connections_max: AtomicUsize,
    /// How late the process reads what arrives.
    timer_lag: Arc<TimerLag>,
    /// How long responses usually take.
    pub(super) usual_times: UsualTimes,
    /// When the planned stop began.
    pub(super) drain_started_at: OnceLock<Instant>,
    /// Whether a wait that can't be read was logged.
    has_logged_unreadable_pause: AtomicBool,
    /// Cancelled when open requests must end.
    pub(super) end_requests: CancellationToken,
}

impl fmt::Debug for Relay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Relay")
    }
}

impl Relay {
    /// Creates a relay; `peers` are the other nodes, which share runners and retry budgets.
    ///
    /// Requests count as having arrived earlier than they are read by the present `timer_lag`.
    pub fn new(
        traffic: Arc<ActiveConfig>,
        dispatcher: Dispatcher,
        formats: Arc<dyn Formats>,
        bounds: Bounds,
        peers: watch::Receiver<Vec<PeerNode>>,
        timer_lag: Arc<TimerLag>,
    ) -> Arc<Self> {
        let memory = RequestMemory::default();
        Arc::new(Self {
            traffic,
            config_age: OnceLock::new(),
            dispatcher,
            formats,
            budget: RetryBudget::new(&bounds),
            quotas: OnceLock::new(),
            counters: RelayCounters::default(),
            grace: Mutex::new(grace_time(&bounds)),
            timer_lag,
            peers,
            pool: ConnectionPool::new(memory.clone()),
            memory,
            callers_connections_max: AtomicUsize::new(usize::MAX),
            peer_client: OnceLock::new(),
            peer_reach: Mutex::default(),
            is_cut_off: AtomicBool::new(false),
            probed_runners: ProbedRunners::default(),
            usual_times: UsualTimes::default(),
            drain_started_at: OnceLock::new(),
            has_logged_unreadable_pause: AtomicBool::new(false),
            end_requests: CancellationToken::new(),
        })
    }

    /// Begins a planned stop: from now on responses ask callers to close their connections.
    pub fn begin_drain(&self) {
        self.drain_started_at.get_or_init(Instant::now);
    }

    /// Refuses keys while the configuration is too old; later calls have no effect.
    pub fn use_config_age(&self, age: Arc<ConfigAge>) {
        let _ = self.config_age.set(age);
    }

    /// Returns the check of a caller's key.
    pub(super) fn key_check(&self, caller: &CallerIdentity) -> KeyCheck {
        KeyCheck {
            caller: caller.clone(),
            traffic: self.traffic.clone(),
            age: self.config_age.get().cloned(),
        }
    }

    /// Decides whether keys may be served by the configuration in force.
    ///
    /// # Errors
    ///
    /// Fails if the configuration may be outdated.
    pub(super) fn check_config_age(&self) -> Result<(), ConfigTooOld> {
        self.config_age.get().map_or(Ok(()), |age| age.check())
    }

    /// Uses TLS for requests that are passed on to peers; has an effect before the first one only.
    pub fn use_peer_tls(&self, tls: Option<Tls>) {
        self.peer_client.get_or_init(|| new_peer_client(tls));
    }

    /// Returns the client for requests that are passed on to peers.
    pub(super) fn peer_client(&self) -> &Client {
        self.peer_client.get_or_init(|| new_peer_client(None))
    }

    /// Sets whether this node reaches no runner; if so, responses ask callers to close their
    /// connections.
    pub fn set_cut_off(&self, cut_off: bool) {
        self.is_cut_off.store(cut_off, Ordering::Relaxed);
    }

    /// Keeps the quotas of workspaces; has an effect the first time only.
    pub fn use_quotas(&self, quotas: Arc<QuotaExchange>) {
        self.quotas.get_or_init(|| quotas);
    }

    /// Returns the exchange that keeps the quotas of workspaces.
    pub fn quotas(&self) -> Option<&Arc<QuotaExchange>> {
        self.quotas.get()
    }

    /// Closes the idle connections to the runners of a service.
    pub fn close_idle_connections(&self, service: &ServiceId) {
        for runner in self.dispatcher.runners_of(service) {
            self.pool.close_idle(&runner);
        }
    }

    /// Limits retries at first, since an earlier process of this node may have used up the budget.
    pub fn limit_retries_after_restart(&self) {
        self.budget.limit_slack_after_restart();
    }

    /// Applies changed bounds; requests in flight continue.
    pub fn set_bounds(&self, bounds: &Bounds) {
        self.budget.set_bounds(bounds);
        if let Some(quotas) = self.quotas() {
            quotas.set_bounds(bounds.quotas);
        }
        *self.grace.lock().unwrap_or_else(PoisonError::into_inner) = grace_time(bounds);
    }

    /// Sets the limits of the memory for bodies and of callers' connections, the latter before the
    /// relay serves.
    pub fn set_memory_limits(&self, limits: MemoryLimits, connections_max: usize) {
        self.memory.set_limits(limits);
        self.callers_connections_max
            .store(connections_max, Ordering::Relaxed);
    }

    /// Returns the most connections that callers may have open.
    pub(super) fn callers_connections_max(&self) -> usize {
        self.callers_connections_max.load(Ordering::Relaxed)
    }

    /// Returns the memory for the bodies of requests and responses.
    pub fn memory(&self) -> &RequestMemory {
        &self.memory
    }

    /// Returns the counters of callers' requests.
    pub fn counters(&self) -> &RelayCounters {
        &self.counters
    }

    /// Returns how long requests in flight may continue after a planned stop began.
    pub(super) fn grace(&self) -> Duration {
        *self.grace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles a caller's request and returns the response.
    pub(super) async fn handle(self: Arc<Self>, mut request: Request<Incoming>) -> Response<Body> {
        // Only peers may pass requests on.
        request.headers_mut().remove(PASSED_ON);
        self.handle_of_any(request).await
    }

    /// Handles a request of a caller, or one that a peer passed on.
    pub(super) async fn handle_of_any(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let now = Instant::now();
        // A process without processor time reads requests late, and callers wait all the while.
        let arrived_at = now.checked_sub(self.timer_lag.current()).unwrap_or(now);
        let cancellation = CancellationGuard::new(&self.counters);
        let mut response = match self.read_call(request, arrived_at).await {
            Ok(call) if !self.can_finish(&call) => self.refuse(&Refusal::not_run()),
            Ok(call) => {
                // Yields once, so that a request whose caller already disconnected is dropped.
                tokio::task::yield_now().await;
                let call = ForwardedCall {
                    relay: self.clone(),
                    call,
                    progress: AttemptProgress::default(),
                    software: None,
                };
                call.respond(arrived_at).await
            }
            Err(refusal) => self.refuse(&refusal),
        };
        cancellation.disarm();
        if self.drain_started_at.get().is_some() || self.is_cut_off.load(Ordering::Relaxed) {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Returns whether a request can be answered before a planned stop ends the open ones.
    fn can_finish(&self, call: &Call) -> bool {
        let Some(drain_started_at) = self.drain_started_at.get() else {
            return true;
        };
        let open_max = self.grace().saturating_sub(GRACE_RESERVE);
        let left = open_max.saturating_sub(drain_started_at.elapsed());
        let service = &call.rules.service;
        self.usual_times.fits(service, call.left(), left)
    }

    /// Returns this node's share of a limit that all nodes share, at least 1.
    pub(super) fn node_share(&self, total: usize) -> usize {
        (total / self.node_count()).max(1)
    }

    /// Counts a retry against the budget of a service; returns whether the retry is allowed.
    pub(super) fn try_retry(&self, service: &ServiceId) -> bool {
        let is_allowed = self.budget.try_retry(service, self.node_count());
        match is_allowed {
            true => self.counters.retries.count(),
            false => self.counters.retries_denied.count(),
        }
        is_allowed
    }

    /// Logs the first `Retry-After` of a runner that can't be read.
    pub(super) fn log_unreadable_pause(&self, runner: &RunnerKey, cause: &RetryAfterError) {
        if !self
            .has_logged_unreadable_pause
            .swap(true, Ordering::Relaxed)
        {
            log::warn!(runner:% = runner.id; "relay: a wait that a runner asks for is ignored: {cause}");
        }
    }

    fn node_count(&self) -> usize {
        self.peers.borrow().len() + 1
    }
}

fn new_peer_client(tls: Option<Tls>) -> Client {
    Client::with_liveness(PEER_CONNECT_TIMEOUT, Liveness::PROMPT).with_tls(tls)
}

fn grace_time(bounds: &Bounds) -> Duration {
    Duration::from_secs_f64(bounds.grace_s.max(0.0))
}
