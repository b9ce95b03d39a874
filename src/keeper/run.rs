//! Runs a keeper from its start to its planned stop.

use {
    super::{KeeperError, KeeperSettings, keeper_parts::KeeperParts},
    crate::{
        http::{Readiness, serve_operations},
        security::Tls,
        telemetry::{init_logs, init_metrics, run_metrics_upkeep},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::TcpListener,
        signal::unix::{Signal, SignalKind, signal},
        sync::watch,
        task::{JoinHandle, LocalSet, spawn_local},
    },
    tokio_util::sync::CancellationToken,
};

/// The longest that a planned stop waits for the release of the runners, and then again for the
/// end of the heartbeat.
const STOP_STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a keeper until SIGTERM.
///
/// # Errors
///
/// Fails when an address is already in use or the runtime cannot be started.
pub fn run(settings: KeeperSettings) -> Result<(), KeeperError> {
    init_logs(settings.log_level, settings.log_format);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve_keeper(settings))
}

async fn serve_keeper(settings: KeeperSettings) -> Result<(), KeeperError> {
    let mut signals = Signals::new()?;
    let tls = Tls::load_if_configured(settings.tls.as_ref())?;
    let peers = listen(settings.peer_address).await?;
    let operators = listen(settings.operator_address).await?;
    let stop = CancellationToken::new();
    let readiness = serve_health(settings.operations_address, &stop).await?;
    let keeper = KeeperParts::new(&settings, tls);
    let heartbeat = RunningHeartbeat::start(&keeper, settings.lease_ttl_s);
    keeper.start(&settings, peers, operators);
    readiness.set(true);
    log::info!("keeper: {} started.", settings.vm);
    let drained = tokio::select! {
        () = signals.wait_for_stop() => false,
        () = keeper.state.wait_for_drain() => true,
    };
    readiness.set(false);
    release_runners(&keeper).await;
    heartbeat.stop().await;
    if drained {
        log::info!("keeper: {} has drained.", settings.vm);
        signals.wait_for_stop().await;
    }
    stop.cancel();
    log::info!("keeper: {} stopped.", settings.vm);
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, KeeperError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| KeeperError::Listen { address, cause })
}

async fn serve_health(
    address: SocketAddr,
    stop: &CancellationToken,
) -> Result<Readiness, KeeperError> {
    let listener = listen(address).await?;
    let metrics = init_metrics()?;
    spawn_local(run_metrics_upkeep(metrics.clone()));
    let readiness = Readiness::default();
    let render = move || metrics.render();
    let served = serve_operations(listener, readiness.clone(), render, stop.clone());
    spawn_local(served);
    Ok(readiness)
}

async fn release_runners(keeper: &KeeperParts) {
    let released = keeper.fleet.release_all();
    let ended = tokio::time::timeout(STOP_STEP_TIMEOUT, released).await;
    if ended.is_err() {
        log::warn!("keeper: releasing the runners timed out.");
    }
}

/// The running heartbeat of this VM.
struct RunningHeartbeat {
    stop: watch::Sender<bool>,
    heartbeat: JoinHandle<()>,
}

impl RunningHeartbeat {
    fn start(keeper: &KeeperParts, ttl_s: u64) -> Self {
        let (stop, stopped) = watch::channel(false);
        let heartbeat = spawn_local(keeper.heartbeat(ttl_s).run(stopped));
        Self { stop, heartbeat }
    }

    async fn stop(self) {
        self.stop.send_replace(true);
        let _ = tokio::time::timeout(STOP_STEP_TIMEOUT, self.heartbeat).await;
    }
}

/// The signals that request a planned stop.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> Result<Self, KeeperError> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn wait_for_stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
