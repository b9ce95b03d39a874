//! One seeded run of several VMs that own runners, with faults of VMs, the store and engines.

use {
    super::{
        fleet_faults::{
            EngineLink, FakeEngine, Faults, FreezeGate, Histories, LinkFaults, ROLES, SeededRng,
            StoreLink, Without,
        },
        paused::paused_runtime,
    },
    greengagetrail::{
        config::{Adapter, Catalog, Deployment, Fencing, Model, Runner},
        engine::{Action, Engine, Order},
        fleet::{
            FleetKeeper, FleetTiming, FleetView, Move, MoveChange, Owner, RECORD_PREFIX,
            RunnerRecord, decode_record,
        },
        membership::Member,
        standin::kv::MemoryStore,
        store::{Store, StoreVersion},
        units::{Incarnation, MemoryMib, OrderId, VmName},
    },
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

const RUNNER_MEMORY: MemoryMib = MemoryMib(100);
const LATENESS_MS: u64 = 4000;
const LEASE_MS: u64 = 8000;
const FOREVER_MS: u64 = 100_000_000;
const VMS: usize = 3;
const RUNNERS: usize = 3;
const ADAPTERS: u64 = 12;

/// The parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct RunParams {
    pub seed: u64,
    pub without: Without,
    pub restarts: bool,
    pub order_faults_percent: u64,
    pub process_faults: bool,
    /// Whether the VMs also send orders that change roles.
    pub role_orders: bool,
    pub loads_at_once_max: u32,
    pub models: u64,
    pub faults_ms: u64,
    pub recovery_ms: u64,
}

impl RunParams {
    /// Returns the parameters of a run with all faults.
    pub fn new(seed: u64, without: Without) -> Self {
        Self {
            seed,
            without,
            restarts: true,
            order_faults_percent: 10,
            process_faults: true,
            role_orders: false,
            loads_at_once_max: 16,
            models: 4,
            faults_ms: 60_000,
            recovery_ms: 50_000,
        }
    }
}

/// Returns the number of seeds: `usual`, unless `GGT_FLEET_SEEDS` overrides it.
#[allow(dead_code, reason = "some tests have a fixed number")]
pub fn seeds(usual: u64) -> u64 {
    let wanted = std::env::var("GGT_FLEET_SEEDS");
    wanted.map_or(usual, |seeds| seeds.parse().unwrap())
}

/// The results of a run.
#[derive(Debug)]
#[allow(dead_code)] // each test binary reads other fields
pub struct Outcome {
    pub histories: Histories,
    /// The runner records at the end of the run.
    pub records: Arc<Vec<RunnerRecord>>,
    /// The memory reserved by unanswered orders, integrated over the time with faults.
    pub unanswered_mib_ms: u64,
    /// The memory of all runners, integrated over the same time.
    pub total_mib_ms: u64,
}

struct Vm {
    owner: Owner,
    gate: FreezeGate,
    listed_until: Instant,
    killed: bool,
}

struct Simulation {
    params: RunParams,
    start: Instant,
    faults: Faults,
    store: MemoryStore,
    engines: Vec<Arc<FakeEngine>>,
    catalog: Mutex<Arc<Catalog>>,
    vms: Mutex<Vec<Vm>>,
    /// The runner records, cached with the store version that they were read at.
    records: Mutex<(StoreVersion, Arc<Vec<RunnerRecord>>)>,
}

fn fencing(runner: usize) -> Fencing {
    if runner.is_multiple_of(2) {
        Fencing::Ignored
    } else {
        Fencing::Honoured
    }
}

fn catalog(params: &RunParams, pool_mib: u64) -> Catalog {
    let lateness = |index| match fencing(index) {
        Fencing::Ignored if params.without != Without::Lateness => LATENESS_MS,
        _ => 0,
    };
    let runner = |index: usize| Runner {
        name: format!("r{index}").parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        accelerators: 1,
        memory_mib: RUNNER_MEMORY,
        adapter_pool_mib: MemoryMib(pool_mib),
        fencing: fencing(index),
        order_lateness_max_ms: lateness(index),
    };
    let model = |index: u64| Model {
        name: format!("m{index}").parse().unwrap(),
        version: "1".to_owned(),
        memory_mib: MemoryMib(20 + 10 * (index % 2)),
    };
    let adapter = |index: u64| Adapter {
        name: format!("a{index}").parse().unwrap(),
        model: format!("m{}", index % params.models).parse().unwrap(),
        memory_mib: MemoryMib(10),
    };
    Catalog {
        deployment: Deployment {
            model_loads_per_s: 1000.0,
            model_loads_at_once_max: params.loads_at_once_max,
            adapter_loads_at_once_max: 30,
            ..Deployment::default()
        },
        runners: (0..RUNNERS).map(runner).collect(),
        models: (0..params.models).map(model).collect(),
        adapters: (0..ADAPTERS).map(adapter).collect(),
        ..Catalog::default()
    }
}

impl Simulation {
    fn new(params: RunParams) -> (Arc<Self>, Arc<Mutex<Histories>>) {
        let now = Instant::now();
        let faults = Faults {
            rng: SeededRng::new(params.seed),
            without: params.without,
            order_faults_percent: params.order_faults_percent,
            process_faults: params.process_faults,
            store_down_until: Arc::new(Mutex::new(now)),
            faults_until: now + Duration::from_millis(params.faults_ms),
        };
        let histories = Arc::new(Mutex::new(Histories::default()));
        let engine = |index| {
            let name = format!("r{index}");
            let histories = Arc::clone(&histories);
            FakeEngine::new(
                &name,
                fencing(index),
                RUNNER_MEMORY,
                faults.clone(),
                histories,
            )
        };
        let engines = (0..RUNNERS).map(engine).collect();
        let simulation = Self {
            params,
            start: now,
            store: MemoryStore::new(),
            engines,
            catalog: Mutex::new(Arc::new(catalog(&params, 30))),
            vms: Mutex::default(),
            records: Mutex::default(),
            faults,
        };
        (Arc::new(simulation), histories)
    }

    fn members(&self) -> Vec<Member> {
        let vms = self.vms.lock().unwrap();
        vms.iter()
            .filter(|vm| vm.gate.frozen_for() < Duration::from_millis(LEASE_MS))
            .map(|vm| Member {
                vm: vm.owner.vm.clone(),
                data_centre: "dc".parse().unwrap(),
                address: "127.0.0.1:1".parse().unwrap(),
                entry_address: "127.0.0.1:2".parse().unwrap(),
                incarnation: vm.owner.incarnation,
            })
            .collect()
    }

    fn listed(&self, members: &[Member]) -> Vec<VmName> {
        if self.params.without == Without::VmListCheck {
            return members.iter().map(|member| member.vm.clone()).collect();
        }
        let vms = self.vms.lock().unwrap();
        let listed = vms.iter().filter(|vm| vm.listed_until > Instant::now());
        listed.map(|vm| vm.owner.vm.clone()).collect()
    }

    fn view(&self) -> FleetView {
        let members = self.members();
        FleetView {
            catalog: Arc::clone(&self.catalog.lock().unwrap()),
            listed_vms: Some(self.listed(&members)),
            members,
        }
    }

    fn faults_active(&self) -> bool {
        Instant::now() < self.faults.faults_until
    }

    fn add_vm(self: &Arc<Self>) {
        let mut vms = self.vms.lock().unwrap();
        let owner = Owner {
            vm: format!("vm{}", vms.len()).parse().unwrap(),
            incarnation: Incarnation(1),
        };
        let gate = FreezeGate::new();
        vms.push(Vm {
            owner: owner.clone(),
            gate: gate.clone(),
            listed_until: Instant::now() + Duration::from_millis(FOREVER_MS),
            killed: false,
        });
        tokio::spawn(Arc::clone(self).run_vm(owner, gate));
    }

    fn kill_vm(&self) {
        let rng = &self.faults.rng;
        let mut vms = self.vms.lock().unwrap();
        let mut alive: Vec<_> = vms.iter_mut().filter(|vm| !vm.killed).collect();
        let chosen = rng.below(alive.len() as u64) as usize;
        let vm = &mut alive[chosen];
        vm.killed = true;
        vm.gate.freeze(Duration::from_millis(FOREVER_MS));
        vm.listed_until = Instant::now() + rng.ms(0, 15_000);
    }

    fn freeze_vm(&self) {
        let rng = &self.faults.rng;
        let vms = self.vms.lock().unwrap();
        let alive: Vec<_> = vms.iter().filter(|vm| !vm.killed).collect();
        let chosen = rng.below(alive.len() as u64) as usize;
        alive[chosen].gate.freeze(rng.ms(500, 30_000));
    }

    fn keeper(self: &Arc<Self>, owner: Owner, gate: FreezeGate) -> FleetKeeper {
        let link = StoreLink {
            inner: Arc::new(self.store.clone()),
            faults: LinkFaults {
                gate: gate.clone(),
                faults: self.faults.clone(),
            },
        };
        let simulation = Arc::clone(self);
        let engines = move |runner: &Runner| -> Arc<dyn Engine> {
            let index = runner.name.as_str()[1..].parse().unwrap();
            Arc::new(simulation.engine_link(index, gate.clone()))
        };
        let timing = FleetTiming {
            status_interval: Duration::from_millis(1000),
            order_timeout: Duration::from_millis(FOREVER_MS),
        };
        FleetKeeper::new(
            Arc::new(link),
            Box::new(engines),
            owner,
            "dc".parse().unwrap(),
            timing,
        )
    }

    fn engine_link(&self, index: usize, gate: FreezeGate) -> EngineLink {
        EngineLink {
            engine: Arc::clone(&self.engines[index]),
            gate,
            faults: self.faults.clone(),
            late_max_ms: match fencing(index) {
                Fencing::Ignored => LATENESS_MS,
                Fencing::Honoured => 40_000,
            },
        }
    }

    /// Sends an order that changes the role of a random engine, under the epoch in its record.
    async fn change_role(self: Arc<Self>, gate: FreezeGate) {
        let rng = &self.faults.rng;
        let index = rng.below(RUNNERS as u64) as usize;
        let role = ROLES[rng.below(ROLES.len() as u64) as usize];
        let records = self.records().await;
        let name = format!("r{index}");
        let Some(record) = records.iter().find(|it| it.name.as_str() == name) else {
            return;
        };
        let order = Order {
            id: OrderId::random(),
            epoch: record.epoch,
            incarnation: record.engine,
            action: Action::ChangeRole { role },
        };
        let _ = self.engine_link(index, gate).send(order).await;
    }

    async fn run_vm(self: Arc<Self>, owner: Owner, gate: FreezeGate) {
        let keeper = self.keeper(owner, gate.clone());
        let rng = self.faults.rng.clone();
        loop {
            gate.wait_until_thawed().await;
            keeper.update(self.view());
            for record in self.records().await.iter() {
                keeper.apply_record(record);
            }
            if self.faults_active() {
                if self.params.role_orders && rng.percent(50) {
                    tokio::spawn(Arc::clone(&self).change_role(gate.clone()));
                }
                let moves = (0..rng.below(8)).map(|_| self.random_move(&rng)).collect();
                keeper.queue_moves(moves, "random");
            }
            sleep(rng.ms(300, 900)).await;
        }
    }

    fn random_move(&self, rng: &SeededRng) -> Move {
        let model = || {
            format!("m{}", rng.below(self.params.models))
                .parse()
                .unwrap()
        };
        let adapter = || format!("a{}", rng.below(ADAPTERS)).parse().unwrap();
        let change = match rng.below(10) {
            0..3 => MoveChange::Load(model()),
            3..5 => MoveChange::Unload(model()),
            5..9 => MoveChange::LoadAdapter(adapter()),
            _ => MoveChange::UnloadAdapter(adapter()),
        };
        Move {
            runner: format!("r{}", rng.below(RUNNERS as u64)).parse().unwrap(),
            change,
            urgent: rng.percent(50),
        }
    }

    async fn records(&self) -> Arc<Vec<RunnerRecord>> {
        let found = self.store.range(RECORD_PREFIX, 100).await.unwrap();
        let mut cache = self.records.lock().unwrap();
        if cache.0 != found.version {
            let records = found
                .entries
                .iter()
                .map(|entry| decode_record(entry).unwrap().0);
            *cache = (found.version, Arc::new(records.collect()));
        }
        Arc::clone(&cache.1)
    }

    async fn inject_faults(self: Arc<Self>) {
        let rng = self.faults.rng.clone();
        while self.faults_active() && self.params.process_faults {
            match rng.below(100) {
                0..20 => self.freeze_vm(),
                20..28 => {
                    self.kill_vm();
                    self.add_vm();
                }
                28..40 if self.params.restarts => {
                    self.engines[rng.below(RUNNERS as u64) as usize].restart();
                }
                40..48 => {
                    let until = Instant::now() + rng.ms(500, 8000);
                    *self.faults.store_down_until.lock().unwrap() = until;
                }
                48..65 => {
                    let pool_mib = 30 + 10 * rng.below(3);
                    *self.catalog.lock().unwrap() = Arc::new(catalog(&self.params, pool_mib));
                }
                _ => {}
            }
            sleep(rng.ms(500, 4000)).await;
        }
    }

    /// Returns the memory reserved for loads of models that the engines do not hold.
    async fn unanswered_mib(&self) -> u64 {
        let mut sum = 0;
        for record in self.records().await.iter() {
            let index: usize = record.name.as_str()[1..].parse().unwrap();
            for open in &record.orders {
                if let Action::LoadModel {
                    model, memory_mib, ..
                } = &open.order.action
                    && !self.engines[index].holds(model)
                {
                    sum += memory_mib.0;
                }
            }
        }
        sum
    }
}

/// Executes one run on a paused clock.
pub fn run(params: RunParams) -> Outcome {
    let runtime = paused_runtime();
    let outcome = runtime.block_on(run_simulation(params));
    runtime.shutdown_background();
    outcome
}

async fn run_simulation(params: RunParams) -> Outcome {
    let (simulation, histories) = Simulation::new(params);
    for _ in 0..VMS {
        simulation.add_vm();
    }
    tokio::spawn(Arc::clone(&simulation).inject_faults());
    let (mut unanswered_mib_ms, mut total_mib_ms) = (0, 0);
    const SAMPLE_MS: u64 = 500;
    while simulation.start.elapsed() < Duration::from_millis(params.faults_ms + params.recovery_ms)
    {
        sleep(Duration::from_millis(SAMPLE_MS)).await;
        if simulation.faults_active() {
            unanswered_mib_ms += SAMPLE_MS * simulation.unanswered_mib().await;
            total_mib_ms += SAMPLE_MS * RUNNERS as u64 * RUNNER_MEMORY.0;
        }
    }
    let records = simulation.records().await;
    let histories = std::mem::take(&mut *histories.lock().unwrap());
    Outcome {
        histories,
        records,
        unanswered_mib_ms,
        total_mib_ms,
    }
}
