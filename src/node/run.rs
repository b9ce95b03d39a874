//! Starts the tasks of a node and stops them at a planned stop.

use {
    super::{
        AgeEndpoint, Bounds, ChangesEndpoint, ControlAccess, ControlPort, NodeParts, NodeSettings,
        NodeView, PeerAddresses, PeerConfigFollower, PeerEndpoints, PeerRunnersFollower,
        ResponseBudget, SettingsFollower, StoredStreams, StreamClient, UpstreamPeer, VerdictTask,
        age_peers::AgePeers, follow_nodes::follow_nodes, reach_task::ReachTask, serve_metrics,
        signals::Signals,
    },
    crate::{
        copies::{OrderCounters, OrderTask},
        discovery::{RunnerFollower, RunnerSnapshot},
        dispatch::{Dispatcher, RunnerRegistry},
        freshness::{AgeBound, AgeTask, ConfigAge},
        gossip::Gossip,
        http::{Readiness, serve_operations},
        leader::{BootClock, Membership, PeerNode},
        quotas::{QuotaExchange, QuotaLink},
        relay::Relay,
        request_memory::{MemoryLimits, callers_connections_max},
        security::{KeyRing, Tls, TlsError, reload_tls_on_change},
        store::{MeteredStore, MonitoredStore, StoreHealth, StoreVersion, UpstreamStore},
        streams::{RecorderChoice, StreamTask, StreamWriter, VersionTask},
        telemetry::{TimerLag, init_logs_by_part, set_log_format, set_log_rules},
        traffic::{ActiveConfig, ConfigFollower},
    },
    std::{io, net::SocketAddr, path::Path, sync::Arc, time::Duration},
    thiserror::Error,
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::watch,
        time,
    },
    tokio_util::sync::CancellationToken,
};

/// The time after the node reports that it is not ready until its caller port closes.
///
/// The platform's load balancer still sends new connections to the node during this time.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(2200);

/// The interval at which a starting node checks whether runners are known.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The reason why a node cannot start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address cannot be bound, or signal handlers cannot be installed.
    #[error("{resource}: {cause}")]
    Io {
        /// The setting with the address, or `signals`.
        resource: &'static str,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// The TLS files are missing or invalid.
    #[error(transparent)]
    Tls(#[from] TlsError),
}

/// Runs a node until a planned stop is finished.
///
/// `path` is the file of the settings, which is read again when it changes.
///
/// # Errors
///
/// Fails if an address cannot be bound, signal handlers cannot be installed or the TLS files are
/// invalid.
pub async fn run(settings: NodeSettings, path: &Path, parts: NodeParts) -> Result<(), NodeError> {
    init_logs_by_part(settings.log_rules(), settings.log_format);
    let sockets = Sockets::bind(&settings).await?;
    let signals = Signals::install().map_err(io_error("signals"))?;
    let stop = signals.stop.clone();
    let tls = Tls::load_if_configured(settings.tls.as_ref())?;
    let node = Node::new(settings, parts, tls);
    let runners_version = node.start_platform_followers();
    node.start_age_task();
    let gossip = node.start_gossip(sockets.gossip);
    let gossip_for_settings = gossip.clone();
    node.start_order_task(gossip.clone());
    node.start_verdict_task();
    node.start_stream_tasks();
    tokio::spawn(follow_nodes(
        node.settings.node.clone(),
        node.membership.clone(),
        node.registry.clone(),
    ));
    let timer_lag = Arc::<TimerLag>::default();
    tokio::spawn(timer_lag.clone().run());
    node.start_peer_config_follower(&gossip);
    let relay = node.new_relay(timer_lag.clone());
    relay.limit_retries_after_restart();
    relay.use_peer_tls(node.access.tls.clone());
    relay.use_config_age(node.config_age.clone());
    relay.use_quotas(node.start_quotas(sockets.quotas, gossip.keys().clone()));
    let readiness = Readiness::default();
    let stopped = CancellationToken::new();
    let view = NodeView {
        node: node.settings.node.clone(),
        data_centre: node.settings.data_centre.clone(),
        active_config: node.active_config.clone(),
        config_age: node.config_age.clone(),
        registry: node.registry.clone(),
        membership: node.membership.clone(),
        store: node.store.clone(),
        relay: relay.clone(),
        order_counters: node.order_counters.clone(),
        gossip,
        timer_lag,
        readiness: readiness.clone(),
        stop: stop.clone(),
    };
    let metrics_view = view.clone();
    let render = move || metrics_view.metrics();
    let operations = serve_operations(sockets.ready, readiness.clone(), render, stopped.clone());
    tokio::spawn(operations);
    if let Some(metrics) = sockets.metrics {
        tokio::spawn(serve_metrics(view.clone(), metrics, stopped.clone()));
    }
    let peer_endpoints = PeerEndpoints {
        active_config: node.active_config.clone(),
        registry: node.registry.clone(),
        runners_version,
        budget: node.peer_responses.clone(),
    };
    let access = node.access.clone();
    let control = ControlPort {
        view,
        peer_endpoints,
        changes_endpoint: node.new_changes_endpoint(),
        age_endpoint: AgeEndpoint {
            age: node.config_age.clone(),
        },
        access,
    };
    tokio::spawn(control.serve(sockets.control, stopped.clone()));
    tokio::spawn(
        node.new_settings_follower(path, relay.clone(), gossip_for_settings)
            .run(signals.reload_settings),
    );
    let reach_task = ReachTask {
        registry: node.registry.clone(),
        relay: relay.clone(),
        readiness: readiness.clone(),
    };
    tokio::spawn(reach_task.run());
    let callers_stop = CancellationToken::new();
    let served = tokio::spawn(relay.clone().serve(sockets.callers, callers_stop.clone()));
    log::info!(node:% = node.settings.node; "node: started");
    tokio::select! {
        () = wait_until_ready(&node.active_config, &node.registry, &readiness) => {}
        () = stop.cancelled() => {}
    }
    stop.cancelled().await;
    log::info!(node:% = node.settings.node; "node: stopping");
    readiness.set(false);
    relay.begin_drain();
    tokio::join!(node.membership.leave(), time::sleep(LOAD_BALANCER_DELAY));
    callers_stop.cancel();
    let finished = served.await.unwrap_or(false);
    log::info!(all_finished = finished; "node: stopped");
    Ok(())
}

/// The state that the tasks of a node share.
struct Node {
    settings: NodeSettings,
    parts: NodeParts,
    store_health: Arc<StoreHealth>,
    /// The store client whose watches go through a peer in large systems.
    watched_store: Arc<UpstreamStore>,
    upstream: Arc<UpstreamPeer>,
    active_config: Arc<ActiveConfig>,
    config_age: Arc<ConfigAge>,
    registry: Arc<RunnerRegistry>,
    membership: Arc<Membership>,
    store: Arc<MeteredStore>,
    order_counters: Arc<OrderCounters>,
    access: ControlAccess,
    bounds: watch::Sender<Bounds>,
    peer_responses: ResponseBudget,
}

impl Node {
    fn new(settings: NodeSettings, mut parts: NodeParts, tls: Option<Tls>) -> Self {
        if let Some(tls) = tls.clone() {
            tokio::spawn(reload_tls_on_change(tls));
        }
        let operator_keys = KeyRing::new(settings.operator_keys.clone());
        let store = Arc::new(MeteredStore::new(parts.store));
        let monitored = MonitoredStore::new(store.clone());
        let store_health = monitored.health();
        parts.store = Arc::new(monitored);
        let active_config = Arc::new(ActiveConfig::default());
        let registry = RunnerRegistry::new(settings.data_centre.clone(), active_config.clone());
        let watched_store = Arc::new(UpstreamStore::new(parts.store.clone()));
        let membership = Membership::start(
            watched_store.clone(),
            &parts.formats.keys().own_prefix,
            own_node(&settings),
            settings.bounds,
        );
        let upstream = Arc::new(new_upstream(&settings, &membership, tls.clone()));
        watched_store.follow(upstream.clone());
        let age_bound = AgeBound::of(&settings.bounds);
        let config_age = ConfigAge::new(active_config.clone(), BootClock::default(), age_bound);
        let (bounds, _) = watch::channel(settings.bounds);
        let peer_responses = ResponseBudget::new(settings.link_mbps);
        Self {
            settings,
            parts,
            store_health,
            watched_store,
            upstream,
            active_config,
            config_age: Arc::new(config_age),
            registry: Arc::new(registry),
            membership: Arc::new(membership),
            store,
            order_counters: Arc::default(),
            access: ControlAccess { tls, operator_keys },
            bounds,
            peer_responses,
        }
    }

    fn new_settings_follower(
        &self,
        path: &Path,
        relay: Arc<Relay>,
        gossip: Arc<Gossip>,
    ) -> SettingsFollower {
        let operator_keys = self.access.operator_keys.clone();
        let membership = self.membership.clone();
        let bounds = self.bounds.clone();
        let config_age = self.config_age.clone();
        let peer_responses = self.peer_responses.clone();
        SettingsFollower::new(path, self.settings.clone(), move |settings| {
            set_log_rules(settings.log_rules());
            set_log_format(settings.log_format);
            operator_keys.replace(settings.operator_keys.clone());
            gossip.keys().replace(settings.gossip_keys.clone());
            gossip.set_link(settings.link_mbps);
            peer_responses.set_link(settings.link_mbps);
            relay.set_bounds(&settings.bounds);
            config_age.set_bound(AgeBound::of(&settings.bounds));
            membership.set_bounds(settings.bounds);
            bounds.send_replace(settings.bounds);
        })
    }

    /// Starts the tasks that keep the configuration and the list of runners up to date.
    ///
    /// Returns a receiver of the store version of the runner list.
    fn start_platform_followers(&self) -> watch::Receiver<StoreVersion> {
        let formats = &self.parts.formats;
        let config = ConfigFollower::new(
            self.watched_store.clone(),
            formats.clone(),
            self.active_config.clone(),
        );
        let config = config.with_observer(self.config_age.clone());
        tokio::spawn(config.run());
        let (lists, peer_list) = watch::channel(RunnerSnapshot::default());
        let runners = RunnerFollower::new(
            self.watched_store.clone(),
            self.store_health.clone(),
            formats.clone(),
            self.registry.clone(),
            peer_list,
        );
        let version = runners.version();
        let (peers, health) = (self.peer_addresses(), self.store_health.clone());
        let peer_follower = PeerRunnersFollower::new(peers, health, version.clone(), lists);
        let peer_follower = peer_follower.with_tls(self.access.tls.clone());
        tokio::spawn(peer_follower.run());
        tokio::spawn(runners.run());
        version
    }

    /// Starts the task that proves that the configuration is the newest one.
    fn start_age_task(&self) {
        let tls = self.access.tls.clone();
        let peers = AgePeers::new(self.upstream.clone(), self.peer_addresses(), tls);
        let task = AgeTask::new(
            self.config_age.clone(),
            self.active_config.clone(),
            self.parts.store.clone(),
            self.parts.formats.clone(),
            Arc::new(peers),
        );
        tokio::spawn(task.run());
    }

    fn new_changes_endpoint(&self) -> ChangesEndpoint {
        ChangesEndpoint {
            logs: self.watched_store.logs(),
            health: self.store_health.clone(),
            freshness_max: Duration::from_millis(self.settings.bounds.lease_ms) / 2,
            budget: self.peer_responses.clone(),
        }
    }

    fn peer_addresses(&self) -> PeerAddresses {
        PeerAddresses {
            peers: self.membership.peers.clone(),
            seeds: self.settings.seed_addresses.clone(),
        }
    }

    /// Starts the gossip with the peers.
    fn start_gossip(&self, socket: UdpSocket) -> Arc<Gossip> {
        let port = self.settings.gossip_port;
        let seeds = self.settings.seed_addresses.iter();
        let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect();
        let node = self.settings.node.clone();
        let peers = self.membership.peers.clone();
        let registry = self.registry.clone();
        let direct_peers_max = self.settings.direct_peers_max;
        let gossip =
            Gossip::with_direct_peers_max(node, peers, seeds, registry, socket, direct_peers_max);
        gossip.keys().replace(self.settings.gossip_keys.clone());
        gossip.set_link(self.settings.link_mbps);
        tokio::spawn(gossip.clone().run());
        gossip
    }

    /// Starts the task that sends orders to runners while this node leads.
    fn start_order_task(&self, gossip: Arc<Gossip>) {
        let order_task = OrderTask {
            registry: self.registry.clone(),
            active_config: self.active_config.clone(),
            control: self.parts.control.clone(),
            term: self.membership.term.clone(),
            fenced: self.membership.fenced.clone(),
            broadcaster: gossip,
            counters: self.order_counters.clone(),
            node: self.settings.node.clone(),
            bounds: self.bounds.subscribe(),
        };
        tokio::spawn(order_task.run());
    }

    /// Starts the task that keeps quarantined requests and prompt parts in the store.
    fn start_verdict_task(&self) {
        let verdict_task = VerdictTask {
            registry: self.registry.clone(),
            store: self.parts.store.clone(),
            prefix: self.membership.quarantine_prefix().to_owned(),
            entries: self.membership.quarantine.clone(),
        };
        tokio::spawn(verdict_task.run());
    }

    /// Starts the tasks that keep the software versions in use, and the streams that began while
    /// there are several, in the store.
    fn start_stream_tasks(&self) {
        let streams = self.registry.streams.clone();
        let prefix = self.parts.formats.keys().streams_prefix;
        streams.follow_store(Arc::new(StoredStreams {
            store: self.parts.store.clone(),
            prefix: prefix.clone(),
            membership: self.membership.clone(),
        }));
        let version_task = VersionTask {
            streams: streams.clone(),
            store: self.parts.store.clone(),
            key: self.membership.versions_key().to_owned(),
            stored: self.membership.versions.clone(),
            term: self.membership.term.clone(),
        };
        tokio::spawn(version_task.run());
        let settings = &self.settings;
        let node = &settings.node;
        let choice = RecorderChoice::new(
            node.clone(),
            settings.data_centre.clone(),
            settings.direct_peers_max,
        );
        let writer = StreamWriter::new(self.parts.store.clone(), &prefix, node, rand::random());
        let sender = Arc::new(StreamClient::new(self.access.tls.clone()));
        let peers = self.membership.peers.clone();
        tokio::spawn(StreamTask::new(streams, peers, sender, choice, writer).run());
    }

    /// Starts the task that fetches the configuration from peers.
    fn start_peer_config_follower(&self, gossip: &Gossip) {
        let follower = PeerConfigFollower::new(
            self.parts.formats.clone(),
            self.active_config.clone(),
            self.peer_addresses(),
            gossip.newest_config(),
        );
        let follower = follower.with_tls(self.access.tls.clone());
        tokio::spawn(follower.run());
    }

    /// Starts the exchange that keeps the quotas of workspaces over all nodes.
    fn start_quotas(&self, socket: Option<UdpSocket>, keys: KeyRing) -> Arc<QuotaExchange> {
        let port = self.settings.quota_port;
        let link = socket.map(|socket| QuotaLink { socket, port, keys });
        let membership = self.membership.clone();
        let exchange = QuotaExchange::new(
            self.settings.node.clone(),
            self.active_config.clone(),
            self.membership.peers.clone(),
            self.settings.bounds.quotas,
            link,
            move || membership.has_read_nodes() && membership.holds_lease(),
        );
        tokio::spawn(exchange.clone().run());
        exchange
    }

    fn new_relay(&self, timer_lag: Arc<TimerLag>) -> Arc<Relay> {
        let relay = Relay::new(
            self.active_config.clone(),
            Dispatcher::new(self.registry.clone()),
            self.parts.formats.clone(),
            self.settings.bounds,
            self.membership.peers.clone(),
            timer_lag,
        );
        let (memory_mb, descriptors_max) = (self.settings.memory_mb, self.settings.descriptors_max);
        relay.set_memory_limits(
            MemoryLimits::of_machine(memory_mb),
            callers_connections_max(memory_mb, descriptors_max),
        );
        relay
    }
}

/// Reports the node as ready once it has a configuration and knows a runner.
async fn wait_until_ready(
    active_config: &ActiveConfig,
    registry: &RunnerRegistry,
    readiness: &Readiness,
) {
    let mut configs = active_config.subscribe();
    if configs.wait_for(Option::is_some).await.is_ok() {
        while registry.runners().is_empty() {
            time::sleep(STARTUP_POLL_INTERVAL).await;
        }
        readiness.set(true);
        log::info!("node: ready");
    }
}

/// The listening sockets of a node.
struct Sockets {
    callers: TcpListener,
    ready: TcpListener,
    control: TcpListener,
    /// `None` if the port is not configured or cannot be bound.
    metrics: Option<TcpListener>,
    gossip: UdpSocket,
    /// `None` if nodes do not share quotas.
    quotas: Option<UdpSocket>,
}

impl Sockets {
    async fn bind(settings: &NodeSettings) -> Result<Self, NodeError> {
        let gossip = SocketAddr::new(settings.ip.into(), settings.gossip_port);
        Ok(Self {
            callers: bind("callers_address", settings.callers_address).await?,
            ready: bind("ready_address", settings.ready_address).await?,
            control: bind("control_address", settings.control_address).await?,
            metrics: bind_metrics(settings).await,
            gossip: UdpSocket::bind(gossip)
                .await
                .map_err(io_error("gossip_port"))?,
            quotas: bind_quotas(settings).await?,
        })
    }
}

async fn bind_quotas(settings: &NodeSettings) -> Result<Option<UdpSocket>, NodeError> {
    if settings.quota_port == 0 {
        return Ok(None);
    }
    let address = SocketAddr::new(settings.ip.into(), settings.quota_port);
    let bound = UdpSocket::bind(address).await;
    bound.map(Some).map_err(io_error("quota_port"))
}

/// Binds the metrics port; a failure is logged and does not stop the node.
async fn bind_metrics(settings: &NodeSettings) -> Option<TcpListener> {
    let address = SocketAddr::new(settings.ip.into(), settings.metrics_port);
    if settings.metrics_port == 0 {
        return None;
    }
    let bound = TcpListener::bind(address).await;
    bound
        .inspect_err(|cause| log::warn!("node: cannot bind the metrics port {address}: {cause}"))
        .ok()
}

fn own_node(settings: &NodeSettings) -> PeerNode {
    PeerNode {
        name: settings.node.clone(),
        gossip_address: SocketAddr::new(settings.ip.into(), settings.gossip_port),
        control_address: settings.control_address,
        zone: settings.data_centre.clone(),
    }
}

/// Creates the source of store changes that replaces the node's own watches in large systems.
fn new_upstream(
    settings: &NodeSettings,
    membership: &Membership,
    tls: Option<Tls>,
) -> UpstreamPeer {
    let upstream = UpstreamPeer::new(
        own_node(settings),
        membership.peers.clone(),
        membership.term.clone(),
        settings.direct_peers_max,
        settings.bounds.drain_ms,
    );
    upstream.with_tls(tls)
}

async fn bind(resource: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.map_err(io_error(resource))
}

fn io_error(resource: &'static str) -> impl FnOnce(io::Error) -> NodeError {
    move |cause| NodeError::Io { resource, cause }
}
