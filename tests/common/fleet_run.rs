//! One seeded run of several VMs that own runners, with faults of VMs, the store and engines.

use {
    super::{
        fleet_faults::{
            Dice, EngineLink, FakeEngine, Faults, Gate, Histories, LinkFaults, ROLES, StoreLink,
            Without,
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
const DEAD_MS: u64 = 100_000_000;
const VMS: usize = 3;
const RUNNERS: usize = 3;
const ADAPTERS: u64 = 12;

/// The parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
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
    pub rest_ms: u64,
}

impl Plan {
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
            rest_ms: 50_000,
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
    pub doubt_mib_ms: u64,
    /// The memory of all runners, integrated over the same time.
    pub total_mib_ms: u64,
}

struct Vm {
    owner: Owner,
    gate: Gate,
    listed_until: Instant,
    killed: bool,
}

struct World {
    plan: Plan,
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

fn catalog(plan: &Plan, pool_mib: u64) -> Catalog {
    let lateness = |index| match fencing(index) {
        Fencing::Ignored if plan.without != Without::Lateness => LATENESS_MS,
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
        model: format!("m{}", index % plan.models).parse().unwrap(),
        memory_mib: MemoryMib(10),
    };
    Catalog {
        deployment: Deployment {
            model_loads_per_s: 1000.0,
            model_loads_at_once_max: plan.loads_at_once_max,
            adapter_loads_at_once_max: 30,
            ..Deployment::default()
        },
        runners: (0..RUNNERS).map(runner).collect(),
        models: (0..plan.models).map(model).collect(),
        adapters: (0..ADAPTERS).map(adapter).collect(),
        ..Catalog::default()
    }
}

impl World {
    fn new(plan: Plan) -> (Arc<Self>, Arc<Mutex<Histories>>) {
        let now = Instant::now();
        let faults = Faults {
            dice: Dice::new(plan.seed),
            without: plan.without,
            order_faults_percent: plan.order_faults_percent,
            process_faults: plan.process_faults,
            store_down_until: Arc::new(Mutex::new(now)),
            quiet_from: now + Duration::from_millis(plan.faults_ms),
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
        let world = Self {
            plan,
            start: now,
            store: MemoryStore::new(),
            engines,
            catalog: Mutex::new(Arc::new(catalog(&plan, 30))),
            vms: Mutex::default(),
            records: Mutex::default(),
            faults,
        };
        (Arc::new(world), histories)
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
        if self.plan.without == Without::SenderGone {
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

    fn in_faults(&self) -> bool {
        Instant::now() < self.faults.quiet_from
    }

    fn add_vm(self: &Arc<Self>) {
        let mut vms = self.vms.lock().unwrap();
        let owner = Owner {
            vm: format!("vm{}", vms.len()).parse().unwrap(),
            incarnation: Incarnation(1),
        };
        let gate = Gate::new();
        vms.push(Vm {
            owner: owner.clone(),
            gate: gate.clone(),
            listed_until: Instant::now() + Duration::from_millis(DEAD_MS),
            killed: false,
        });
        tokio::spawn(Arc::clone(self).run_vm(owner, gate));
    }

    fn kill_vm(&self) {
        let dice = &self.faults.dice;
        let mut vms = self.vms.lock().unwrap();
        let mut alive: Vec<_> = vms.iter_mut().filter(|vm| !vm.killed).collect();
        let chosen = dice.below(alive.len() as u64) as usize;
        let vm = &mut alive[chosen];
        vm.killed = true;
        vm.gate.freeze(Duration::from_millis(DEAD_MS));
        vm.listed_until = Instant::now() + dice.ms(0, 15_000);
    }

    fn freeze_vm(&self) {
        let dice = &self.faults.dice;
        let vms = self.vms.lock().unwrap();
        let alive: Vec<_> = vms.iter().filter(|vm| !vm.killed).collect();
        let chosen = dice.below(alive.len() as u64) as usize;
        alive[chosen].gate.freeze(dice.ms(500, 30_000));
    }

    fn keeper(self: &Arc<Self>, owner: Owner, gate: Gate) -> FleetKeeper {
        let link = StoreLink {
            inner: Arc::new(self.store.clone()),
            faults: LinkFaults {
                gate: gate.clone(),
                faults: self.faults.clone(),
            },
        };
        let world = Arc::clone(self);
        let engines = move |runner: &Runner| -> Arc<dyn Engine> {
            let index = runner.name.as_str()[1..].parse().unwrap();
            Arc::new(world.engine_link(index, gate.clone()))
        };
        let timing = FleetTiming {
            status_interval: Duration::from_millis(1000),
            order_timeout: Duration::from_millis(DEAD_MS),
        };
        FleetKeeper::new(
            Arc::new(link),
            Box::new(engines),
            owner,
            "dc".parse().unwrap(),
            timing,
        )
    }

    fn engine_link(&self, index: usize, gate: Gate) -> EngineLink {
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
    async fn change_role(self: Arc<Self>, gate: Gate) {
        let dice = &self.faults.dice;
        let index = dice.below(RUNNERS as u64) as usize;
        let role = ROLES[dice.below(ROLES.len() as u64) as usize];
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

    async fn run_vm(self: Arc<Self>, owner: Owner, gate: Gate) {
        let keeper = self.keeper(owner, gate.clone());
        let dice = self.faults.dice.clone();
        loop {
            gate.pass().await;
            keeper.update(self.view());
            for record in self.records().await.iter() {
                keeper.apply_record(record);
            }
            if self.in_faults() {
                if self.plan.role_orders && dice.percent(50) {
                    tokio::spawn(Arc::clone(&self).change_role(gate.clone()));
                }
                let moves = (0..dice.below(8))
                    .map(|_| self.random_move(&dice))
                    .collect();
                keeper.queue_moves(moves, "random");
            }
            sleep(dice.ms(300, 900)).await;
        }
    }

    fn random_move(&self, dice: &Dice) -> Move {
        let model = || {
            format!("m{}", dice.below(self.plan.models))
                .parse()
                .unwrap()
        };
        let adapter = || format!("a{}", dice.below(ADAPTERS)).parse().unwrap();
        let change = match dice.below(10) {
            0..3 => MoveChange::Load(model()),
            3..5 => MoveChange::Unload(model()),
            5..9 => MoveChange::LoadAdapter(adapter()),
            _ => MoveChange::UnloadAdapter(adapter()),
        };
        Move {
            runner: format!("r{}", dice.below(RUNNERS as u64)).parse().unwrap(),
            change,
            urgent: dice.percent(50),
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

    async fn bring_faults(self: Arc<Self>) {
        let dice = self.faults.dice.clone();
        while self.in_faults() && self.plan.process_faults {
            match dice.below(100) {
                0..20 => self.freeze_vm(),
                20..28 => {
                    self.kill_vm();
                    self.add_vm();
                }
                28..40 if self.plan.restarts => {
                    self.engines[dice.below(RUNNERS as u64) as usize].restart();
                }
                40..48 => {
                    let until = Instant::now() + dice.ms(500, 8000);
                    *self.faults.store_down_until.lock().unwrap() = until;
                }
                48..65 => {
                    let pool_mib = 30 + 10 * dice.below(3);
                    *self.catalog.lock().unwrap() = Arc::new(catalog(&self.plan, pool_mib));
                }
                _ => {}
            }
            sleep(dice.ms(500, 4000)).await;
        }
    }

    /// Returns the memory reserved for loads of models that the engines do not hold.
    async fn doubt_mib(&self) -> u64 {
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
pub fn run(plan: Plan) -> Outcome {
    let runtime = paused_runtime();
    let outcome = runtime.block_on(run_world(plan));
    runtime.shutdown_background();
    outcome
}

async fn run_world(plan: Plan) -> Outcome {
    let (world, histories) = World::new(plan);
    for _ in 0..VMS {
        world.add_vm();
    }
    tokio::spawn(Arc::clone(&world).bring_faults());
    let (mut doubt_mib_ms, mut total_mib_ms) = (0, 0);
    const SAMPLE_MS: u64 = 500;
    while world.start.elapsed() < Duration::from_millis(plan.faults_ms + plan.rest_ms) {
        sleep(Duration::from_millis(SAMPLE_MS)).await;
        if world.in_faults() {
            doubt_mib_ms += SAMPLE_MS * world.doubt_mib().await;
            total_mib_ms += SAMPLE_MS * RUNNERS as u64 * RUNNER_MEMORY.0;
        }
    }
    let records = world.records().await;
    let histories = std::mem::take(&mut *histories.lock().unwrap());
    Outcome {
        histories,
        records,
        doubt_mib_ms,
        total_mib_ms,
    }
}
