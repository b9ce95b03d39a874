//! Runs the stand-ins of a process until a signal stops it.

use {
    super::{
        ControlService, Controlled, HttpService, ServerGuard, StandinKind, StandinSettings,
        StandinSpec,
        engine::StandinEngine,
        kv::{KvControl, MemoryStore},
        plain::PlainService,
        serve,
        vms::VmList,
        weights::{WeightLimits, WeightSource, WeightStore},
    },
    crate::{settings::build_runtime, telemetry::init_logs},
    std::{io, net::SocketAddr, sync::Arc},
    tokio::signal::unix::{SignalKind, signal},
};

/// Runs the stand-ins until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when an address cannot be listened at.
pub fn run(settings: StandinSettings) -> io::Result<()> {
    init_logs(settings.log_level, settings.log_format);
    build_runtime(settings.threads)?.block_on(run_until_stopped(settings.stand_ins))
}

async fn run_until_stopped(specs: Vec<StandinSpec>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut servers = Vec::new();
    for spec in specs {
        servers.extend(start(spec).await?);
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("standin: stopped");
    Ok(())
}

async fn start(spec: StandinSpec) -> io::Result<Vec<ServerGuard>> {
    let StandinSpec {
        address,
        control_address,
        kind,
    } = spec;
    let at = (address, control_address);
    match kind {
        StandinKind::Kv => {
            let store = MemoryStore::new();
            start_both("kv", at, store.clone(), KvControl::new(store)).await
        }
        StandinKind::Vms { vms } => {
            let list = VmList::new(vms);
            start_both("vms", at, list.clone(), list).await
        }
        StandinKind::Weights { limits } => {
            let store = Arc::new(WeightStore::new(limits));
            start_shared("weights", at, store.clone(), store).await
        }
        StandinKind::Engine {
            weights_address,
            engine,
        } => {
            let weights = weight_source(weights_address);
            let engine = StandinEngine::new(engine, weights);
            start_both("engine", at, engine.clone(), engine).await
        }
        StandinKind::Plain => {
            let service = PlainService::new();
            start_both("plain", at, service.clone(), service).await
        }
    }
}

fn weight_source(address: Option<SocketAddr>) -> WeightSource {
    match address {
        Some(address) => WeightSource::remote(address),
        None => WeightSource::Local(Arc::new(WeightStore::new(WeightLimits::default()))),
    }
}

async fn start_both(
    kind: &str,
    at: (SocketAddr, Option<SocketAddr>),
    service: impl HttpService,
    control: impl Controlled,
) -> io::Result<Vec<ServerGuard>> {
    start_shared(kind, at, Arc::new(service), control).await
}

async fn start_shared(
    kind: &str,
    (address, control_address): (SocketAddr, Option<SocketAddr>),
    service: Arc<impl HttpService>,
    control: impl Controlled,
) -> io::Result<Vec<ServerGuard>> {
    let server = serve(address, service).await?;
    log::info!("standin: {kind} listens at {}", server.address());
    let control = ControlService::new(control, server.connection_switch());
    let mut servers = vec![server];
    if let Some(address) = control_address {
        servers.push(serve(address, Arc::new(control)).await?);
    }
    Ok(servers)
}
