//! The measured node, on a separate thread.

use {
    bytes::Bytes,
    greengagetrail::{
        discovery::{ResidentModel, RunnerEntry, RunnerKey, RunnerState},
        dispatch::{AttemptOutcome, DispatchRequest, Dispatcher, PassOn, RunnerRegistry},
        gossip::Gossip,
        leader::PeerNode,
        quarantine::RequestDigest,
        relay::GenerationRequest,
        traffic::{
            ActiveConfig, CallerLimits, ConfigVersion, EngineSpec, ModelSpec, RouteTable,
            ServiceSpec, TrafficConfig,
        },
        workspaces::WorkspaceDirectory,
    },
    rand::RngExt,
    rustix::time::{ClockId, Timespec, clock_gettime},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
            mpsc,
        },
        thread::JoinHandle,
        time::Duration,
    },
    tokio::{net::UdpSocket, sync::watch, time::Instant},
};

/// Requests per second of one node: 2,700 per second over 350 nodes.
const REQUESTS_PER_S: f64 = 7.7;

/// The duration of a request: 278 tokens at 36 ms.
const REQUEST_TIME: Duration = Duration::from_secs(10);

/// The time to the first token of a request.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(300);

/// The name and the service of the runner that only the measurement sends requests to.
pub const PROBE: &str = "probe";

/// The number of models that a runner holds.
const MODELS_PER_RUNNER: usize = 2;

pub struct Node {
    pub address: SocketAddr,
    cpu_time_us: Arc<AtomicU64>,
    stopping: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Node {
    /// Starts the node with its share of the planned requests already running.
    pub fn start(peers: Vec<SocketAddr>, runners: usize, models: usize) -> io::Result<Self> {
        let (address_sender, address) = mpsc::channel();
        let (cpu_time_us, stopping) = (
            Arc::new(AtomicU64::new(0)),
            Arc::new(AtomicBool::new(false)),
        );
        let (cpu_time, stop) = (cpu_time_us.clone(), stopping.clone());
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let Ok(runtime) = runtime else { return };
            runtime.block_on(async {
                let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await else {
                    return;
                };
                let Ok(address) = socket.local_addr() else {
                    return;
                };
                let board = board(runners, models, "east");
                let peers = peer_list(&peers);
                let gossip = Gossip::with_direct_peers_max(
                    "me".into(),
                    peers,
                    Vec::new(),
                    board.clone(),
                    socket,
                    usize::MAX,
                );
                tokio::spawn(gossip.run());
                if address_sender.send(address).is_err() {
                    return;
                }
                start_callers(Dispatcher::new(board), models);
                while !stop.load(Ordering::Relaxed) {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    let now = clock_gettime(ClockId::ThreadCPUTime);
                    cpu_time.store(micros(now), Ordering::Relaxed);
                }
            });
        });
        let address = address
            .recv()
            .map_err(|_| io::Error::other("the node did not start"))?;
        Ok(Self {
            address,
            cpu_time_us,
            stopping,
            thread,
        })
    }

    /// Returns the CPU time of the node's thread so far.
    pub fn cpu_time(&self) -> Duration {
        Duration::from_micros(self.cpu_time_us.load(Ordering::Relaxed))
    }

    /// Stops the node's thread.
    pub fn stop(self) {
        self.stopping.store(true, Ordering::Relaxed);
        drop(self.thread.join());
    }
}

/// Returns a time in microseconds.
pub fn micros(time: Timespec) -> u64 {
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

fn peer_list(peers: &[SocketAddr]) -> watch::Receiver<Vec<PeerNode>> {
    let peers = peers.iter().enumerate().map(|(number, address)| PeerNode {
        name: format!("peer-{number}").as_str().into(),
        gossip_address: *address,
        control_address: *address,
        zone: "east".into(),
    });
    let (sender, receiver) = watch::channel(peers.collect());
    // The list never changes; the sender must outlive all receivers.
    std::mem::forget(sender);
    receiver
}

/// Starts callers that send one request after another.
pub fn start_callers(dispatcher: Dispatcher, models: usize) {
    let running = (REQUESTS_PER_S * REQUEST_TIME.as_secs_f64()) as usize;
    for number in 0..running {
        let age = REQUEST_TIME.mul_f64(number as f64 / running as f64);
        tokio::spawn(run_caller(dispatcher.clone(), models, REQUEST_TIME - age));
    }
}

async fn run_caller(dispatcher: Dispatcher, models: usize, first: Duration) {
    let mut duration = first;
    loop {
        let model = rand::rng().random_range(0..models);
        match dispatcher.assign(&wanted(model)).await {
            Ok(mut place) => {
                tokio::time::sleep(FIRST_TOKEN_TIME.min(duration)).await;
                place.record_event(Instant::now());
                tokio::time::sleep(duration.saturating_sub(FIRST_TOKEN_TIME)).await;
                place.finish(AttemptOutcome::Complete);
            }
            Err(_) => tokio::time::sleep(duration).await,
        }
        duration = REQUEST_TIME;
    }
}

/// Returns a request for the runner that only the measurement sends requests to.
pub fn wanted_probe() -> DispatchRequest {
    DispatchRequest {
        service: PROBE.into(),
        generation: None,
        ..wanted(0)
    }
}

fn wanted(model: usize) -> DispatchRequest {
    let generation = GenerationRequest {
        model: model_name(model).as_str().into(),
        adapter: None,
        prompt_tokens: 1_000,
        output_tokens_max: 278,
        output_tokens_hint: None,
        prompt_parts: Vec::new(),
    };
    DispatchRequest {
        service: "engines".into(),
        generation: Some(generation),
        software: None,
        digest: RequestDigest(rand::random()),
        priority: 1,
        is_urgent: false,
        target_at: Instant::now() + Duration::from_secs(1),
        assign_by: Instant::now() + Duration::from_secs(10),
        caller_deadline: Instant::now() + Duration::from_secs(10),
        tried_runners: Vec::new(),
        pass_on: PassOn::Impossible,
    }
}

fn model_name(number: usize) -> String {
    format!("model-{number:04}")
}

pub fn board(runners: usize, models: usize, zone: &str) -> Arc<RunnerRegistry> {
    let traffic = Arc::new(ActiveConfig::default());
    traffic.activate_if_newer(RouteTable::new(config(models), Bytes::new()));
    let board = Arc::new(RunnerRegistry::new(zone.into(), traffic));
    let engines = (0..runners).map(|number| runner(number, models));
    board.set_runners(engines.chain([probe()]).collect());
    board
}

fn probe() -> RunnerEntry {
    let mut entry = runner(0, 1);
    entry.key.id = PROBE.into();
    entry.service = PROBE.into();
    entry.models.clear();
    entry
}

fn runner(number: usize, models: usize) -> RunnerEntry {
    let models_held = (0..MODELS_PER_RUNNER)
        .map(|place| model_name((number * MODELS_PER_RUNNER + place) % models));
    let mut models_held: Vec<String> = models_held.collect();
    models_held.sort();
    let models_held = models_held.iter().map(|name| ResidentModel {
        model: name.as_str().into(),
        version: 1,
        adapters: Vec::new(),
    });
    RunnerEntry {
        key: RunnerKey {
            id: format!("engines-east-{number:04}").as_str().into(),
            born_unix_ms: 1_700_000_000_000,
        },
        service: "engines".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "east".into(),
        slots: 64,
        state: RunnerState::Ready,
        software: "v1".into(),
        cold_remaining_ms: 0,
        models: models_held.collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

fn config(models: usize) -> TrafficConfig {
    let models = (0..models).map(|number| ModelSpec {
        name: model_name(number).as_str().into(),
        weights_mb: 70_000.0,
        load_from_store_s: 6.0,
        load_from_memory_s: 0.6,
        load_from_disk_s: 1.3,
        adapters: 0,
        adapter_mb: 0.0,
    });
    let engine = EngineSpec {
        slots: 64,
        kv_capacity_tokens: 140_000_000,
        weights_memory_mb: 200_000.0,
        adapter_slots: 8,
        store_loads_per_s: 1.0,
        models: models.collect(),
    };
    TrafficConfig {
        version: ConfigVersion(1),
        routes: Vec::new(),
        services: vec![service("engines", Some(engine)), service(PROBE, None)],
        limits: CallerLimits {
            head_max_bytes: 1,
            body_max_bytes: 1,
            head_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
        workspaces: WorkspaceDirectory::default(),
    }
}

fn service(name: &str, engine: Option<EngineSpec>) -> ServiceSpec {
    ServiceSpec {
        name: name.into(),
        connections_max: 1_000,
        engine,
    }
}
