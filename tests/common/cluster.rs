//! A whole system in processes on loopback ports: stand-ins, keepers and entries.

#![allow(dead_code, reason = "each test uses a part of it")]

use {
    super::{
        caller::{Answer, Caller},
        links::Links,
        ports::ReservedPorts,
        process::{Process, Program},
    },
    greengagetrail::{
        config::{Catalog, EncodedSnapshot, Object, Publication, PublishOutcome, Publisher},
        store::{EtcdStore, StoreTimeouts},
        units::{PublishId, Revision},
    },
    hyper::StatusCode,
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

pub const PEER_KEY: &str = "the-key-of-the-processes";
pub const OPERATOR_KEY: &str = "the-key-of-the-operators";

/// Far longer than a start takes on a loaded machine.
const START_MAX: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The ports of an entry VM.
const VM_PORTS: usize = 6;
const STORE_TIMEOUTS: StoreTimeouts = StoreTimeouts {
    call_ms: 5_000,
    watch_silence_ms: 5_000,
};

/// The size of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterPlan {
    /// Entry VMs, spread over two data centres in turn.
    pub vms: usize,
    /// Model engines, spread over two data centres in turn.
    pub engines: usize,
    /// Models, each of `model_mib`.
    pub models: usize,
    /// Adapters, spread over the models in turn.
    pub adapters: usize,
    /// The memory of a model.
    pub model_mib: u64,
    /// The settings of each engine.
    pub engine: Value,
    /// The limits of the weight store.
    pub weights: Value,
    /// Settings of each entry beyond the needed ones.
    pub entry: Value,
    /// Settings of each keeper beyond the needed ones.
    pub keeper: Value,
    /// Links between the processes, which may be cut between the data centres.
    pub links: Option<Arc<Links>>,
}

impl ClusterPlan {
    /// Returns the way to an address in a data centre.
    fn way(&self, address: SocketAddr, data_centre: usize) -> SocketAddr {
        let links = self.links.as_ref();
        links.map_or(address, |links| links.link(address, data_centre))
    }
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self {
            vms: 3,
            engines: 2,
            models: 2,
            adapters: 1,
            model_mib: 10_000,
            engine: json!({"memory_mib": 40_000, "adapter_pool_mib": 2_000, "token_us": 2_000}),
            weights: json!({"model_loads_per_s": 50.0, "model_load_ms": 20}),
            entry: json!({"log_level": "debug"}),
            keeper: json!({
                "log_level": "debug", "lease_ttl_s": 3, "planning_interval_ms": 200,
                "status_interval_ms": 200, "exchange_interval_ms": 500
            }),
            links: None,
        }
    }
}

/// A stand-in with its control listener, in a process of its own.
#[derive(Debug)]
pub struct Standin {
    pub process: Process,
    pub address: SocketAddr,
    pub control_address: SocketAddr,
    settings: Value,
    _ports: ReservedPorts,
}

impl Standin {
    fn start(mut spec: Value) -> Self {
        let ports = ReservedPorts::new(2);
        let [address, control_address] = [0, 1].map(|index| ports.address(index));
        spec["address"] = json!(address);
        spec["control_address"] = json!(control_address);
        let settings = json!({"stand_ins": [spec]});
        Self {
            process: Process::start(Program::Standin, &settings),
            address,
            control_address,
            settings,
            _ports: ports,
        }
    }

    /// Starts the process again, with empty memory.
    pub fn restart(&mut self) {
        self.process.kill();
        self.process = Process::start(Program::Standin, &self.settings);
    }

    /// Sets the fault switches; those not named are off.
    pub async fn set_faults(&self, faults: Value) {
        let answer = Caller::new()
            .post(self.control_address, "/faults", &faults)
            .await;
        let answer = answer.expect("the stand-in takes its switches");
        assert!(answer.status.is_success(), "{}", answer.text());
    }

    /// Runs a command, such as `silence` for all open connections.
    pub async fn command(&self, name: &str) {
        let path = format!("/commands/{name}");
        let answer = Caller::new()
            .post(self.control_address, &path, &json!({}))
            .await;
        let answer = answer.expect("the stand-in takes the command");
        assert!(answer.status.is_success(), "{name}: {}", answer.status);
    }

    /// Returns what the stand-in recorded.
    pub async fn record(&self) -> Value {
        let answer = Caller::new().get(self.control_address, "/record").await;
        answer.expect("the stand-in tells its record").json()
    }
}

/// One entry VM.
#[derive(Debug)]
pub struct Vm {
    pub name: String,
    pub data_centre: &'static str,
    pub entry: Process,
    pub keeper: Process,
    pub callers_address: SocketAddr,
    pub entry_operations_address: SocketAddr,
    pub keeper_operations_address: SocketAddr,
    pub operator_address: SocketAddr,
    entry_settings: Value,
    keeper_settings: Value,
    _ports: ReservedPorts,
}

impl Vm {
    /// Starts the entry again after it ended.
    pub fn restart_entry(&mut self) {
        self.entry = Process::start(Program::Entry, &self.entry_settings);
    }

    /// Starts the keeper again after it ended.
    pub fn restart_keeper(&mut self) {
        self.keeper = Process::start(Program::Keeper, &self.keeper_settings);
    }
}

/// A whole system in processes; dropping it kills them all.
#[derive(Debug)]
pub struct Cluster {
    pub plan: ClusterPlan,
    pub kv: Standin,
    pub vm_list: Standin,
    pub weights: Standin,
    pub engines: Vec<Standin>,
    pub plain: Standin,
    engine_ways: Vec<SocketAddr>,
    plain_way: SocketAddr,
    pub vms: Vec<Vm>,
    pub caller: Caller,
}

impl Cluster {
    /// Starts all processes and waits until they are ready.
    pub async fn start(plan: ClusterPlan) -> Self {
        let kv = Standin::start(json!({"kind": "kv"}));
        let vm_list = Standin::start(json!({"kind": "vms"}));
        let weights = Standin::start(json!({"kind": "weights", "limits": plan.weights}));
        let engine = json!({
            "kind": "engine", "engine": plan.engine, "weights_address": weights.address
        });
        let engines = (0..plan.engines).map(|_| Standin::start(engine.clone()));
        let engines: Vec<Standin> = engines.collect();
        let plain = Standin::start(json!({"kind": "plain"}));
        let ways = engines.iter().enumerate();
        let mut cluster = Self {
            engine_ways: ways
                .map(|(index, engine)| plan.way(engine.address, index % 2))
                .collect(),
            plain_way: plan.way(plain.address, 0),
            engines,
            plain,
            kv,
            vm_list,
            weights,
            vms: Vec::new(),
            caller: Caller::new(),
            plan,
        };
        cluster.wait_for_standins().await;
        let ports = (0..cluster.plan.vms).map(|_| ReservedPorts::new(VM_PORTS));
        let ports: Vec<ReservedPorts> = ports.collect();
        cluster
            .list_vms(ports.iter().map(|ports| ports.address(0)))
            .await;
        let mut seeds = Vec::new();
        for (index, ports) in ports.into_iter().enumerate() {
            let vm = cluster.start_vm(index, ports, &mut seeds);
            cluster.vms.push(vm);
        }
        for vm in &cluster.vms {
            let at = vm.keeper_operations_address;
            cluster.caller.wait_for(at, "/healthz", START_MAX).await;
            let at = vm.entry_operations_address;
            cluster.caller.wait_for(at, "/healthz", START_MAX).await;
        }
        cluster
    }

    /// Returns the objects that describe the cluster.
    pub fn objects(&self) -> Vec<Value> {
        let plan = &self.plan;
        let mut objects = vec![
            json!({
                "kind": "deployment", "move_weight": 1.0, "model_loads_per_s": 50.0,
                "model_loads_at_once_max": 3, "adapter_loads_at_once_max": 24
            }),
            json!({"kind": "data_centre", "name": "north", "region": "plains"}),
            json!({"kind": "data_centre", "name": "south", "region": "plains"}),
            json!({"kind": "service", "name": "phone", "target": {
                "type": "models", "priority": 0, "first_token_target_ms": 1000,
                "between_tokens_target_ms": 100
            }}),
            json!({"kind": "service", "name": "desk", "target": {
                "type": "plain", "idempotent_methods": ["GET"], "timeout_ms": 5000,
                "backends": [{
                    "name": "desk-1", "address": self.plain_way, "data_centre": "north"
                }]
            }}),
        ];
        for (index, engine) in self.engine_ways.iter().enumerate() {
            objects.push(json!({
                "kind": "runner", "name": format!("runner-{index}"), "address": engine,
                "data_centre": data_centre(index), "accelerators": 1,
                "memory_mib": plan.engine["memory_mib"],
                "adapter_pool_mib": plan.engine["adapter_pool_mib"],
                "fencing": plan.engine["fencing"].as_str().unwrap_or("honoured"),
                "order_lateness_max_ms": 2000
            }));
        }
        for index in 0..plan.models {
            objects.push(json!({
                "kind": "model", "name": format!("model-{index}"), "version": "1",
                "memory_mib": plan.model_mib
            }));
        }
        for index in 0..plan.adapters {
            objects.push(json!({
                "kind": "adapter", "name": format!("adapter-{index}"),
                "model": format!("model-{}", index % plan.models), "memory_mib": 64
            }));
        }
        objects
    }

    /// Publishes objects through the library and returns the new revision.
    pub async fn publish(&self, objects: &[Value], expected: Revision) -> Revision {
        let read = |object: &Value| serde_json::from_value::<Object>(object.clone()).unwrap();
        let catalog = Catalog::from_objects(objects.iter().map(read));
        let publication = Publication {
            snapshot: EncodedSnapshot::encode(&catalog).unwrap(),
            publish_id: PublishId::random(),
            author: "test".to_owned(),
            message: "test".to_owned(),
            published_at_ms: 0,
            expected,
        };
        let store = EtcdStore::new(vec![self.kv.address], STORE_TIMEOUTS);
        let publisher = Publisher::new(Arc::new(store));
        match publisher.publish(&publication, || None).await {
            Ok(PublishOutcome::Published(head)) => head.revision,
            other => panic!("not published: {other:?}"),
        }
    }

    /// Starts a cluster, publishes its objects and waits until every model answers everywhere.
    pub async fn start_published(plan: ClusterPlan) -> Self {
        let cluster = Self::start(plan).await;
        cluster.publish(&cluster.objects(), Revision(0)).await;
        cluster.wait_until_reachable(START_MAX).await;
        cluster
    }

    /// Waits until every model answers at every entry.
    ///
    /// # Panics
    ///
    /// Panics when it takes longer than `longest`.
    pub async fn wait_until_reachable(&self, longest: Duration) {
        let all: Vec<usize> = (0..self.vms.len()).collect();
        self.wait_until_reachable_at(&all, longest).await;
    }

    /// Waits until every model answers at the entries of these VMs.
    ///
    /// # Panics
    ///
    /// Panics when it takes longer than `longest`.
    pub async fn wait_until_reachable_at(&self, vms: &[usize], longest: Duration) {
        let start = Instant::now();
        for vm in vms.iter().map(|vm| &self.vms[*vm]) {
            for index in 0..self.plan.models {
                let model = format!("model-{index}");
                loop {
                    let answer = self.complete(vm.callers_address, &model, "ready?", 1).await;
                    if answer.as_ref().is_some_and(|a| a.status == StatusCode::OK) {
                        break;
                    }
                    assert!(
                        start.elapsed() < longest,
                        "{}: {model}: {answer:?}",
                        vm.name
                    );
                    sleep(POLL_INTERVAL).await;
                }
            }
        }
    }

    /// Asks for a whole completion.
    pub async fn complete(
        &self,
        entry: SocketAddr,
        model: &str,
        prompt: &str,
        tokens: u32,
    ) -> Option<Answer> {
        let body = json!({"model": model, "prompt": prompt, "max_tokens": tokens});
        self.caller.post(entry, "/v1/completions", &body).await
    }

    /// Asks for a whole completion that must be answered, well or not.
    pub async fn ask(&self, entry: SocketAddr, model: &str, prompt: &str, tokens: u32) -> Answer {
        self.complete(entry, model, prompt, tokens).await.unwrap()
    }

    /// Shows VMs with these addresses as live in the VM list, in the order of their names.
    pub async fn list_vms(&self, addresses: impl Iterator<Item = SocketAddr>) {
        let listed = addresses.enumerate().map(
            |(index, address)| json!({"vm": vm_name(index), "address": address, "state": "live"}),
        );
        let listed: Vec<Value> = listed.collect();
        self.vm_list.set_faults(json!({ "vms": listed })).await;
    }

    async fn wait_for_standins(&self) {
        let fixed = [&self.kv, &self.vm_list, &self.weights, &self.plain];
        for standin in fixed.into_iter().chain(&self.engines) {
            let at = standin.control_address;
            self.caller.wait_for(at, "/faults", START_MAX).await;
        }
    }

    fn start_vm(&self, index: usize, ports: ReservedPorts, seeds: &mut Vec<SocketAddr>) -> Vm {
        let [callers, entry_peer, entry_operations] = [0, 1, 2].map(|at| ports.address(at));
        let [keeper_peer, operator, keeper_operations] = [3, 4, 5].map(|at| ports.address(at));
        let name = vm_name(index);
        let way = |address| self.plan.way(address, index % 2);
        let [entry_way, keeper_way] = [way(entry_peer), way(keeper_peer)];
        let [store, vm_list] = [&self.kv, &self.vm_list].map(|it| self.plan.way(it.address, 0));
        let data_centre = data_centre(index);
        let entry_settings = merged(
            json!({
                "vm": name, "data_centre": data_centre, "callers_address": callers,
                "peer_address": entry_peer, "operations_address": entry_operations,
                "keeper_address": keeper_way, "store_addresses": [store],
                "peer_key": PEER_KEY
            }),
            &self.plan.entry,
        );
        let keeper_settings = merged(
            json!({
                "vm": name, "data_centre": data_centre, "peer_address": keeper_peer,
                "operator_address": operator, "operations_address": keeper_operations,
                "entry_peer_address": entry_way, "store_addresses": [store],
                "advertised_peer_address": keeper_way,
                "vm_list_address": vm_list, "seed_addresses": seeds,
                "peer_key": PEER_KEY, "operator_key": OPERATOR_KEY
            }),
            &self.plan.keeper,
        );
        seeds.push(keeper_way);
        let vm = Vm {
            name,
            data_centre,
            keeper: Process::start(Program::Keeper, &keeper_settings),
            entry: Process::start(Program::Entry, &entry_settings),
            callers_address: callers,
            entry_operations_address: entry_operations,
            keeper_operations_address: keeper_operations,
            operator_address: operator,
            entry_settings,
            keeper_settings,
            _ports: ports,
        };
        if let Some(links) = &self.plan.links {
            links.place(vm.entry.id(), index % 2);
            links.place(vm.keeper.id(), index % 2);
        }
        vm
    }
}

fn vm_name(index: usize) -> String {
    format!("vm-{index}")
}

fn data_centre(index: usize) -> &'static str {
    ["north", "south"][index % 2]
}

fn merged(mut settings: Value, more: &Value) -> Value {
    for (name, value) in more.as_object().into_iter().flatten() {
        settings[name] = value.clone();
    }
    settings
}
