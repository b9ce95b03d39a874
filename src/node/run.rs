//! Runs a node as a process.

use {
    super::{ControlPort, NodeParts, NodeSettings, fetch_from_peers, stop_signal::stop_on_signal},
    crate::{
        copies::OrderTask,
        discovery::follow_runners,
        dispatch::{Dispatcher, RunnerBoard},
        gossip::Gossip,
        http::{Readiness, serve_operations},
        leader::{Membership, PeerNode},
        relay::Relay,
        telemetry::{init_logs, init_metrics, keep_up_metrics},
        traffic::{ConfigFollower, TrafficBoard},
    },
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    thiserror::Error,
    tokio::{
        net::{TcpListener, UdpSocket},
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
    /// The metrics cannot be set up.
    #[error("metrics: {0}")]
    Metrics(String),
}

/// Runs a node until the planned stop.
///
/// # Errors
///
/// Fails when an address is taken.
pub async fn run(settings: NodeSettings, parts: NodeParts) -> Result<(), NodeError> {
    init_logs(settings.log_level, settings.log_format);
    let sockets = Sockets::bind(&settings).await?;
    let metrics = init_metrics().map_err(|cause| NodeError::Metrics(cause.to_string()))?;
    tokio::spawn(keep_up_metrics(metrics.clone()));
    let stop = stop_on_signal().map_err(io_error("signals"))?;
    let traffic = Arc::new(TrafficBoard::default());
    let board = Arc::new(RunnerBoard::new(
        settings.data_centre.clone(),
        traffic.clone(),
    ));
    let follower = ConfigFollower::new(parts.store.clone(), parts.formats.clone(), traffic.clone());
    tokio::spawn(follower.run());
    tokio::spawn(follow_runners(
        parts.store.clone(),
        parts.formats.clone(),
        board.clone(),
    ));
    let membership = Membership::start(
        parts.store.clone(),
        &parts.formats.keys().own_prefix,
        own_address(&settings),
        settings.bounds,
    );
    let gossip = Gossip::new(
        settings.node.clone(),
        membership.peers.clone(),
        board.clone(),
        sockets.gossip,
    );
    tokio::spawn(gossip.clone().run());
    let orders = OrderTask {
        board: board.clone(),
        traffic: traffic.clone(),
        control: parts.control.clone(),
        term: membership.term.clone(),
        listener: gossip.clone(),
        node: settings.node.clone(),
        bounds: settings.bounds,
    };
    tokio::spawn(orders.run());
    let known = membership.peers.clone();
    let seeds = settings.seed_addresses.clone();
    tokio::spawn(fetch_from_peers(
        parts.formats.clone(),
        traffic.clone(),
        move || {
            let peers = known.borrow();
            let addresses = peers.iter().map(|peer| peer.control_address);
            addresses.chain(seeds.iter().copied()).collect()
        },
    ));
    let relay = Relay::new(
        traffic.clone(),
        Dispatcher::new(board.clone()),
        parts.formats.clone(),
        settings.bounds,
        membership.peers.clone(),
    );
    let readiness = Readiness::default();
    let ended = CancellationToken::new();
    let render = move || metrics.render();
    tokio::spawn(serve_operations(
        sockets.ready,
        readiness.clone(),
        render.clone(),
        ended.clone(),
    ));
    let control = ControlPort {
        traffic: traffic.clone(),
        board: board.clone(),
        render_metrics: Arc::new(render),
    };
    tokio::spawn(control.serve(sockets.control, ended.clone()));
    let closing = CancellationToken::new();
    let served = tokio::spawn(relay.clone().serve(sockets.callers, closing.clone()));
    log::info!("node: started");
    tokio::select! {
        () = become_ready(&traffic, &board, &readiness) => {}
        () = stop.cancelled() => {}
    }
    stop.cancelled().await;
    log::info!("node: stopping");
    readiness.set(false);
    relay.retire();
    let balanced = time::sleep(BALANCER_DELAY);
    tokio::join!(membership.leave(), balanced);
    closing.cancel();
    let finished = served.await.unwrap_or(false);
    log::info!("node: stopped, all requests finished: {finished}");
    Ok(())
}

/// Sets readiness once requests can be routed.
async fn become_ready(traffic: &TrafficBoard, board: &RunnerBoard, readiness: &Readiness) {
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
    gossip: UdpSocket,
}

impl Sockets {
    async fn bind(settings: &NodeSettings) -> Result<Self, NodeError> {
        let gossip = SocketAddr::new(settings.ip.into(), settings.gossip_port);
        Ok(Self {
            callers: bind("callers_address", settings.callers_address).await?,
            ready: bind("ready_address", settings.ready_address).await?,
            control: bind("control_address", settings.control_address).await?,
            gossip: UdpSocket::bind(gossip)
                .await
                .map_err(io_error("gossip_port"))?,
        })
    }
}

fn own_address(settings: &NodeSettings) -> PeerNode {
    PeerNode {
        name: settings.node.clone(),
        gossip_address: SocketAddr::new(settings.ip.into(), settings.gossip_port),
        control_address: settings.control_address,
    }
}

async fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.map_err(io_error(what))
}

fn io_error(what: &'static str) -> impl FnOnce(io::Error) -> NodeError {
    move |cause| NodeError::Io { what, cause }
}
