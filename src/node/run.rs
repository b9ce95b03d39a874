//! Runs a node as a process.

use {
    super::{
        Bounds, ChangePage, ControlAccess, ControlPort, NodeParts, NodeSettings, NodeView,
        PeerAddresses, PeerConfigFollower, PeerPages, PeerRunnersFollower, SettingsFollower,
        Upstream, serve_metrics, signals::Signals,
    },
    crate::{
        copies::{OrderCounters, OrderTask},
        discovery::{ListedRunners, RunnerFollower},
        dispatch::{Dispatcher, RunnerRegistry},
        gossip::Gossip,
        http::{Readiness, serve_operations},
        leader::{Membership, PeerNode},
        relay::Relay,
        security::{KeyRing, Tls, TlsError, follow_tls},
        store::{MeteredStore, MonitoredStore, StoreHealth, StoreVersion, UpstreamStore},
        telemetry::{init_logs_by_part, set_log_format, set_log_rules},
        traffic::{ConfigFollower, TrafficBoard},
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

/// How long callers may still connect after the node said that it is not ready.
const BALANCER_DELAY: Duration = Duration::from_millis(2200);

/// How often a starting node looks whether runners are known.
const START_POLL: Duration = Duration::from_millis(20);

/// Why a node cannot run.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address cannot be had.
    #[error("{what}: {cause}")]
    Io {
        /// What was wanted.
        what: &'static str,
        /// Why not.
        cause: io::Error,
    },
    /// The files of TLS cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
}

/// Runs a node with the settings of a file until the planned stop.
///
/// # Errors
///
/// Fails when an address is taken.
pub async fn run(settings: NodeSettings, path: &Path, parts: NodeParts) -> Result<(), NodeError> {
    init_logs_by_part(settings.log_rules(), settings.log_format);
    let sockets = Sockets::bind(&settings).await?;
    let signals = Signals::listen().map_err(io_error("signals"))?;
    let stop = signals.stop.clone();
    let tls = Tls::load_named(settings.tls.as_ref())?;
    let node = Node::new(settings, parts, tls);
    let runners_version = node.follow_platform();
    let gossip = node.gossip(sockets.gossip);
    let gossip_keys = gossip.keys().clone();
    node.give_orders(gossip.clone());
    node.follow_peers(&gossip);
    let relay = node.relay();
    relay.spare_further_tries();
    let readiness = Readiness::default();
    let ended = CancellationToken::new();
    let view = node.view(relay.clone(), readiness.clone(), stop.clone());
    let shown = view.clone();
    let render = move || shown.metrics();
    let operations = serve_operations(sockets.ready, readiness.clone(), render, ended.clone());
    tokio::spawn(operations);
    if let Some(metrics) = sockets.metrics {
        tokio::spawn(serve_metrics(view.clone(), metrics, ended.clone()));
    }
    let pages = PeerPages {
        traffic: node.traffic.clone(),
        board: node.board.clone(),
        runners_version,
    };
    let access = node.access.clone();
    let control = ControlPort {
        view,
        pages,
        changes: node.change_page(),
        access,
    };
    tokio::spawn(control.serve(sockets.control, ended.clone()));
    tokio::spawn(
        node.follow_settings(path, relay.clone(), gossip_keys)
            .run(signals.settings_changed),
    );
    let closing = CancellationToken::new();
    let served = tokio::spawn(relay.clone().serve(sockets.callers, closing.clone()));
    log::info!(node:% = node.settings.node; "node: started");
    tokio::select! {
        () = become_ready(&node.traffic, &node.board, &readiness) => {}
        () = stop.cancelled() => {}
    }
    stop.cancelled().await;
    log::info!(node:% = node.settings.node; "node: stopping");
    readiness.set(false);
    relay.retire();
    tokio::join!(node.membership.leave(), time::sleep(BALANCER_DELAY));
    closing.cancel();
    let finished = served.await.unwrap_or(false);
    log::info!(all_finished = finished; "node: stopped");
    Ok(())
}

/// What the tasks of a node share.
struct Node {
    settings: NodeSettings,
    parts: NodeParts,
    store_health: Arc<StoreHealth>,
    /// The store, whose watches go through a peer in large systems.
    followed: Arc<UpstreamStore>,
    traffic: Arc<TrafficBoard>,
    board: Arc<RunnerRegistry>,
    membership: Arc<Membership>,
    store: Arc<MeteredStore>,
    orders: Arc<OrderCounters>,
    access: ControlAccess,
    bounds: watch::Sender<Bounds>,
}

impl Node {
    fn new(settings: NodeSettings, mut parts: NodeParts, tls: Option<Tls>) -> Self {
        if let Some(tls) = tls.clone() {
            tokio::spawn(follow_tls(tls));
        }
        let operator_keys = KeyRing::new(settings.operator_keys.clone());
        let store = Arc::new(MeteredStore::new(parts.store));
        let monitored = MonitoredStore::new(store.clone());
        let store_health = monitored.health();
        parts.store = Arc::new(monitored);
        let traffic = Arc::new(TrafficBoard::default());
        let board = RunnerRegistry::new(settings.data_centre.clone(), traffic.clone());
        let followed = Arc::new(UpstreamStore::new(parts.store.clone()));
        let membership = Membership::start(
            followed.clone(),
            &parts.formats.keys().own_prefix,
            own_address(&settings),
            settings.bounds,
        );
        followed.follow(Arc::new(upstream(&settings, &membership, tls.clone())));
        let (bounds, _) = watch::channel(settings.bounds);
        Self {
            settings,
            parts,
            store_health,
            followed,
            traffic,
            board: Arc::new(board),
            membership: Arc::new(membership),
            store,
            orders: Arc::default(),
            access: ControlAccess { tls, operator_keys },
            bounds,
        }
    }

    fn view(&self, relay: Arc<Relay>, readiness: Readiness, stop: CancellationToken) -> NodeView {
        NodeView {
            node: self.settings.node.clone(),
            data_centre: self.settings.data_centre.clone(),
            traffic: self.traffic.clone(),
            board: self.board.clone(),
            membership: self.membership.clone(),
            store: self.store.clone(),
            relay,
            orders: self.orders.clone(),
            readiness,
            stop,
        }
    }

    fn follow_settings(
        &self,
        path: &Path,
        relay: Arc<Relay>,
        gossip_keys: KeyRing,
    ) -> SettingsFollower {
        let operator_keys = self.access.operator_keys.clone();
        let membership = self.membership.clone();
        let bounds = self.bounds.clone();
        SettingsFollower::new(path, self.settings.clone(), move |settings| {
            set_log_rules(settings.log_rules());
            set_log_format(settings.log_format);
            operator_keys.replace(settings.operator_keys.clone());
            gossip_keys.replace(settings.gossip_keys.clone());
            relay.set_bounds(&settings.bounds);
            membership.set_bounds(settings.bounds);
            bounds.send_replace(settings.bounds);
        })
    }

    /// Follows the configuration and the list of runners.
    ///
    /// Returns the version of the store up to which the runners are known.
    fn follow_platform(&self) -> watch::Receiver<StoreVersion> {
        let formats = &self.parts.formats;
        let config =
            ConfigFollower::new(self.followed.clone(), formats.clone(), self.traffic.clone());
        tokio::spawn(config.run());
        let (lists, peer_list) = watch::channel(ListedRunners::default());
        let runners = RunnerFollower::new(
            self.followed.clone(),
            self.store_health.clone(),
            formats.clone(),
            self.board.clone(),
            peer_list,
        );
        let version = runners.version();
        let (peers, health) = (self.peers(), self.store_health.clone());
        let from_peers = PeerRunnersFollower::new(peers, health, version.clone(), lists);
        let from_peers = from_peers.with_tls(self.access.tls.clone());
        tokio::spawn(from_peers.run());
        tokio::spawn(runners.run());
        version
    }

    fn change_page(&self) -> ChangePage {
        ChangePage {
            logs: self.followed.logs(),
            health: self.store_health.clone(),
            fresh_max: Duration::from_millis(self.settings.bounds.lease_ms) / 2,
        }
    }

    fn peers(&self) -> PeerAddresses {
        PeerAddresses {
            peers: self.membership.peers.clone(),
            seeds: self.settings.seed_addresses.clone(),
        }
    }

    /// Exchanges state with the peers.
    fn gossip(&self, socket: UdpSocket) -> Arc<Gossip> {
        let port = self.settings.gossip_port;
        let seeds = self.settings.seed_addresses.iter();
        let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect();
        let node = self.settings.node.clone();
        let peers = self.membership.peers.clone();
        let board = self.board.clone();
        let direct_peers_max = self.settings.direct_peers_max;
        let gossip =
            Gossip::with_direct_peers_max(node, peers, seeds, board, socket, direct_peers_max);
        gossip.keys().replace(self.settings.gossip_keys.clone());
        tokio::spawn(gossip.clone().run());
        gossip
    }

    /// Gives orders while this node leads.
    fn give_orders(&self, gossip: Arc<Gossip>) {
        let orders = OrderTask {
            board: self.board.clone(),
            traffic: self.traffic.clone(),
            control: self.parts.control.clone(),
            term: self.membership.term.clone(),
            broadcaster: gossip,
            counters: self.orders.clone(),
            node: self.settings.node.clone(),
            bounds: self.bounds.subscribe(),
        };
        tokio::spawn(orders.run());
    }

    /// Takes the configuration from peers where the store does not give it.
    fn follow_peers(&self, gossip: &Gossip) {
        let follower = PeerConfigFollower::new(
            self.parts.formats.clone(),
            self.traffic.clone(),
            self.peers(),
            gossip.newest_config(),
        );
        let follower = follower.with_tls(self.access.tls.clone());
        tokio::spawn(follower.run());
    }

    fn relay(&self) -> Arc<Relay> {
        Relay::new(
            self.traffic.clone(),
            Dispatcher::new(self.board.clone()),
            self.parts.formats.clone(),
            self.settings.bounds,
            self.membership.peers.clone(),
        )
    }
}

/// Sets readiness once requests can be routed.
async fn become_ready(traffic: &TrafficBoard, board: &RunnerRegistry, readiness: &Readiness) {
    let mut configs = traffic.subscribe();
    if configs.wait_for(Option::is_some).await.is_ok() {
        while board.runners().is_empty() {
            time::sleep(START_POLL).await;
        }
        readiness.set(true);
        log::info!("node: ready");
    }
}

/// The sockets of a node.
struct Sockets {
    callers: TcpListener,
    ready: TcpListener,
    control: TcpListener,
    /// `None` when it is not wanted or its port is taken.
    metrics: Option<TcpListener>,
    gossip: UdpSocket,
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
        })
    }
}

/// Binds the port of the metrics; a node serves without it too.
async fn bind_metrics(settings: &NodeSettings) -> Option<TcpListener> {
    let address = SocketAddr::new(settings.ip.into(), settings.metrics_port);
    if settings.metrics_port == 0 {
        return None;
    }
    let bound = TcpListener::bind(address).await;
    bound
        .inspect_err(|cause| log::warn!("node: no metrics at {address}: {cause}"))
        .ok()
}

fn own_address(settings: &NodeSettings) -> PeerNode {
    PeerNode {
        name: settings.node.clone(),
        gossip_address: SocketAddr::new(settings.ip.into(), settings.gossip_port),
        control_address: settings.control_address,
        zone: settings.data_centre.clone(),
    }
}

/// Makes the source of changes for a node that does not watch the store itself.
fn upstream(settings: &NodeSettings, membership: &Membership, tls: Option<Tls>) -> Upstream {
    let upstream = Upstream::new(
        own_address(settings),
        membership.peers.clone(),
        membership.term.clone(),
        settings.direct_peers_max,
        settings.bounds.drain_ms,
    );
    upstream.with_tls(tls)
}

async fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.map_err(io_error(what))
}

fn io_error(what: &'static str) -> impl FnOnce(io::Error) -> NodeError {
    move |cause| NodeError::Io { what, cause }
}
