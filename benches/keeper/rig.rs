//! One real keeper and the small fakes around it.

use {
    crate::{
        fleet_size::FleetSize,
        meter::{ByteCount, resident_mib},
        process::{Process, Program},
        table::Row,
    },
    bytes::Bytes,
    futures::future::{FutureExt, LocalBoxFuture},
    greengagetrail::{
        config::{Catalog, EncodedSnapshot, Head, Publication, PublishOutcome, Publisher},
        entry::EntryReport,
        fleet::Demand,
        keeper::{
            EntryService, GateService, KeeperGossip, KeeperState, LoginCapabilities, PeerChannels,
            PeerService, planner_of,
        },
        membership::{Member, with_jitter},
        peer::{EntryLink, PeerClient, SharedKey, serve, spawn_entry_link},
        standin::{
            self, ServerGuard,
            engine::{EngineSettings, StandinEngine},
            kv::MemoryStore,
            weights::{WeightLimits, WeightSource, WeightStore},
        },
        store::{
            Op, SharedStore, Store, Txn,
            keys::{member_key, runner_key},
        },
        telemetry::cpu_time,
        units::{Incarnation, MemoryMib, PublishId, Revision, VmName},
    },
    serde_json::json,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::mpsc,
        task::spawn_local,
        time::{Instant, sleep},
    },
};

const KEY: &str = "the-key-of-the-processes";
/// How often a peer compares heads with the keeper: each picks one of all at 4 s.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(4);
/// How often each VM of a data centre reports its demand to the planner.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Counts that a planner shares at most.
const SHARED_COUNTS: usize = 100;
/// How often the planner of a data centre tells the others of its demand.
const SHARE_INTERVAL: Duration = Duration::from_secs(30);
/// Requests that a whole fleet of 350 nodes gets per second.
const REQUESTS_PER_NODE_S: f64 = 2700.0 / 350.0;

/// One real keeper and the small fakes around it.
pub struct Rig {
    size: FleetSize,
    planner: bool,
    store: MemoryStore,
    keeper: Process,
    bytes: ByteCount,
    engine: SocketAddr,
    held: Vec<Vec<usize>>,
    epoch: Cell<u64>,
    head: RefCell<Option<Head>>,
    peers: KeeperState,
    _servers: Vec<ServerGuard>,
    _link: EntryLink,
}

impl Rig {
    pub async fn start(size: FleetSize, planner: bool) -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let bytes = ByteCount::default();
        let store = MemoryStore::new();
        let kv = standin::serve(any, Arc::new(store.clone())).await.unwrap();
        let weights = WeightSource::Local(Arc::new(WeightStore::new(WeightLimits::default())));
        let model_engine = StandinEngine::new(big_engine(), weights);
        let engine_server = standin::serve(any, Arc::new(model_engine)).await.unwrap();
        let engine = bytes.relay(engine_server.address()).await;
        let (peer_address, peers) = serve_peers(&bytes).await;
        let members = size.peers(peer_address);
        write_members(&store, &members).await;
        let vm = pick_vm(&members, size, planner);
        let [peer, operator, operations, entry_peer] = free_addresses();
        let settings = json!({
            "vm": vm, "data_centre": size.data_centre(0), "peer_address": peer,
            "operator_address": operator, "operations_address": operations,
            "entry_peer_address": entry_peer, "peer_key": KEY, "operator_key": KEY,
            "store_addresses": [bytes.relay(kv.address()).await], "log_level": "warn"
        });
        let keeper = Process::start(Program::Keeper, &settings);
        let link = spawn_entry_link(peer, SharedKey::new(KEY).into()).unwrap();
        let inbound = bytes.relay(peer).await;
        let rig = Self {
            size,
            planner,
            store: store.clone(),
            keeper,
            bytes,
            engine,
            held: size.assign(&size.catalog(engine, "1")),
            epoch: Cell::new(1),
            head: RefCell::default(),
            peers,
            _servers: vec![kv, engine_server],
            _link: link,
        };
        rig.publish("1").await;
        rig.write_all_records().await;
        rig.start_traffic(inbound);
        rig
    }

    /// Starts what peers and the entry send to the keeper all the time.
    fn start_traffic(&self, keeper: SocketAddr) {
        let peers = self.peers.clone();
        spawn_local(async move {
            loop {
                sleep(EXCHANGE_INTERVAL).await;
                if let Ok(peer) = PeerClient::connect(keeper, &SharedKey::new(KEY).into()).await {
                    let head = peers.head();
                    let _ = peer.exchange_head(head.as_ref(), keeper).await;
                }
            }
        });
        let demand = self.demand();
        let reports = self._link.reports.clone();
        let own = demand.clone();
        spawn_local(async move {
            loop {
                sleep(Duration::from_secs(1)).await;
                let report = EntryReport {
                    demand: own.clone(),
                    suspects: Vec::new(),
                };
                let _ = reports.send(report).await;
            }
        });
        if !self.planner {
            return;
        }
        let senders = self.size.nodes / self.size.data_centres;
        for sender in 1..=senders.max(1) {
            // These peers are in the keeper's data centre.
            let vm = format!("peer-{}", sender * self.size.data_centres);
            spawn_local(report_for_ever(keeper, vm, demand.clone(), REPORT_INTERVAL));
        }
        let shared = self.shared_demand(senders);
        for place in 1..self.size.data_centres {
            let vm = format!("peer-{place}");
            spawn_local(report_for_ever(keeper, vm, shared.clone(), SHARE_INTERVAL));
        }
    }

    /// Returns what a planner tells the others of the demand in its data centre.
    fn shared_demand(&self, nodes: usize) -> Vec<Demand> {
        let requests = REQUESTS_PER_NODE_S * nodes as f64 * SHARE_INTERVAL.as_secs_f64();
        let models = SHARED_COUNTS.min(self.size.models).min(requests as usize);
        let shared = (0..models).map(|index| Demand {
            requests: 8,
            ..asked(index)
        });
        let mut demand: Vec<Demand> = shared.collect();
        demand.sort_by(|a, b| a.model.cmp(&b.model));
        demand
    }

    /// Returns what one node's callers ask for in a report's interval.
    fn demand(&self) -> Vec<Demand> {
        let requests = (REQUESTS_PER_NODE_S * REPORT_INTERVAL.as_secs_f64()) as usize;
        let drawn = (0..requests).map(|index| asked(index * 13 % self.size.models));
        let mut demand: Vec<Demand> = drawn.collect();
        demand.sort_by(|a, b| a.model.cmp(&b.model));
        demand
    }

    /// Measures the keeper while `load` runs.
    pub async fn measure(
        &self,
        load_name: &'static str,
        window: Duration,
        load: impl Future<Output = ()>,
    ) -> Row {
        let id = self.keeper.id();
        let cpu_before = cpu_time(id).expect("the keeper runs");
        let bytes_before = self.bytes.get();
        let calls_before = self.store.counts().total();
        let start = Instant::now();
        let _ = tokio::time::timeout(window, load).await;
        tokio::time::sleep_until(start + window).await;
        let seconds = start.elapsed().as_secs_f64();
        let cpu = cpu_time(id).expect("the keeper runs") - cpu_before;
        Row {
            nodes: self.size.nodes,
            runners: self.size.runners,
            models: self.size.models,
            planner: self.planner,
            load: load_name,
            cpu_percent: 100.0 * cpu.as_secs_f64() / seconds,
            resident_mib: resident_mib(id),
            bytes_per_s: (self.bytes.get() - bytes_before) as f64 / seconds,
            store_calls_per_s: (self.store.counts().total() - calls_before) as f64 / seconds,
        }
    }

    /// Writes changed runner records at a steady pace.
    pub fn write_records(&self, per_second: u32) -> LocalBoxFuture<'_, ()> {
        async move {
            for index in (0..).map(|turn: usize| turn * 17 % self.size.runners) {
                sleep(Duration::from_secs(1) / per_second).await;
                self.epoch.set(self.epoch.get() + 1);
                self.write_record(index).await;
            }
        }
        .boxed_local()
    }

    /// Publishes some revisions at a steady pace; each changes one model.
    pub fn publish_revisions(&self, count: u32, pause: Duration) -> LocalBoxFuture<'_, ()> {
        async move {
            for number in 0..count {
                self.publish(&format!("{number}-{}", self.epoch.get()))
                    .await;
                sleep(pause).await;
            }
        }
        .boxed_local()
    }

    async fn publish(&self, version: &str) {
        let catalog: Catalog = self.size.catalog(self.engine, version);
        let snapshot = EncodedSnapshot::encode(&catalog).unwrap();
        let expected = self
            .head
            .borrow()
            .as_ref()
            .map_or(Revision(0), |head| head.revision);
        let publication = Publication {
            snapshot: snapshot.clone(),
            publish_id: PublishId::random(),
            author: "bench".to_owned(),
            message: "bench".to_owned(),
            published_at_ms: 0,
            expected,
        };
        let shared: SharedStore = Arc::new(self.store.clone());
        match Publisher::new(shared).publish(&publication, || None).await {
            Ok(PublishOutcome::Published(head)) => {
                self.peers
                    .activate_if_newer(head.clone(), snapshot)
                    .unwrap();
                *self.head.borrow_mut() = Some(head);
            }
            other => panic!("not published: {other:?}"),
        }
    }

    async fn write_all_records(&self) {
        for index in 0..self.size.runners {
            self.write_record(index).await;
        }
    }

    async fn write_record(&self, index: usize) {
        let record = self.size.record(index, self.epoch.get(), &self.held[index]);
        let value = serde_json::to_vec(&record).unwrap();
        put(&self.store, runner_key(&record.name), value).await;
    }
}

fn asked(model: usize) -> Demand {
    Demand {
        model: format!("model-{model}").parse().unwrap(),
        adapter: None,
        requests: 1,
        tokens: 250,
        late: 0,
        refused: 0,
    }
}

/// Reports demand again and again over one connection, as a keeper does.
async fn report_for_ever(keeper: SocketAddr, vm: String, demand: Vec<Demand>, interval: Duration) {
    let vm: VmName = vm.parse().unwrap();
    let mut kept = None;
    loop {
        sleep(with_jitter(interval)).await;
        let peer = match kept.take() {
            Some(peer) => peer,
            None => match PeerClient::connect(keeper, &SharedKey::new(KEY).into()).await {
                Ok(peer) => peer,
                Err(_) => continue,
            },
        };
        if peer.report_demand(&vm, &demand).await.is_ok() {
            kept = Some(peer);
        }
    }
}

async fn put(store: &MemoryStore, key: String, value: Vec<u8>) {
    let value = Bytes::from(value);
    let then = vec![Op::Put {
        key,
        value,
        lease: None,
    }];
    store
        .txn(Txn {
            then,
            ..Txn::default()
        })
        .await
        .unwrap();
}

async fn write_members(store: &MemoryStore, members: &[Member]) {
    for member in members {
        let value = serde_json::to_vec(member).unwrap();
        put(store, member_key(&member.vm), value).await;
    }
}

/// Starts one process side that answers for all peers of the keeper.
async fn serve_peers(bytes: &ByteCount) -> (SocketAddr, KeeperState) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = bytes.relay(listener.local_addr().unwrap()).await;
    let state = KeeperState::default();
    let (offers, _) = mpsc::channel(1);
    let key = SharedKey::new(KEY);
    let vm = "peer-1".parse().unwrap();
    let gossip = KeeperGossip::new(
        vm,
        address,
        key.clone().into(),
        Vec::new(),
        state.clone(),
        offers.clone(),
    );
    let inbox = PeerChannels {
        offers,
        demand: mpsc::channel(1).0,
        proposals: mpsc::channel(1).0,
        states: mpsc::channel(1).0,
    };
    let (reports, _) = mpsc::channel(1);
    let entry = EntryService::client(state.clone(), reports);
    let peer = PeerService::client(state.clone(), Rc::new(gossip), inbox);
    let roles = LoginCapabilities::Processes { key, peer, entry };
    spawn_local(serve(listener, move |login| {
        GateService::client(roles.clone(), login)
    }));
    (address, state)
}

/// Returns a name under which the keeper does or does not plan for its data centre.
fn pick_vm(members: &[Member], size: FleetSize, planner: bool) -> VmName {
    let home = size.data_centre(0);
    let names = (0..).map(|number| format!("measured-{number}"));
    let mut names = names.map(|name| name.parse::<VmName>().unwrap());
    let plans = |vm: &VmName| {
        let mut all = members.to_vec();
        let own = Member {
            vm: vm.clone(),
            data_centre: home.clone(),
            address: members[0].address,
            entry_address: members[0].address,
            incarnation: Incarnation(1),
        };
        all.push(own);
        planner_of(&home, &all).is_some_and(|found| found.vm == *vm)
    };
    names.find(|vm| plans(vm) == planner).unwrap()
}

fn big_engine() -> EngineSettings {
    EngineSettings {
        memory_mib: MemoryMib(320_000),
        adapter_pool_mib: MemoryMib(8_000),
        ..EngineSettings::default()
    }
}

fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let listeners = [(); N].map(|()| std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}
