//! Processes of a trial with their settings and addresses.

use {
    super::{
        ExperimentError, ExperimentPlan, ResolvedSetting,
        deployment::{STORE_NAME, VM_LIST_NAME, WEIGHTS_NAME},
        free_ports::FreePorts,
    },
    crate::{config::Object, units::DataCentreName},
    serde_json::{Map, Value, json},
    std::net::SocketAddr,
};

/// The kind of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProcessKind {
    /// A stand-in for a runner.
    Runner,
    /// A stand-in for another part of the environment.
    StandIn,
    /// A keeper.
    Keeper,
    /// An entry.
    Entry,
}

impl ProcessKind {
    /// Returns the name of the program.
    pub(super) fn program(self) -> &'static str {
        match self {
            Self::Runner | Self::StandIn => "ggt-standin",
            Self::Keeper => "ggt-keeper",
            Self::Entry => "ggt-entry",
        }
    }

    /// Returns whether the process stands in for a part of the environment of the system.
    pub(super) fn is_stand_in(self) -> bool {
        matches!(self, Self::Runner | Self::StandIn)
    }
}

/// One process of a trial.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ProcessSpec {
    /// The name of the process in the schedule.
    pub(super) name: String,
    /// The kind of the process.
    pub(super) kind: ProcessKind,
    /// The content of the settings file.
    pub(super) settings: Value,
    /// The address that receives requests or calls.
    pub(super) address: SocketAddr,
    /// The address of the fault switches of a stand-in, or of the health endpoint.
    pub(super) control: SocketAddr,
}

/// The processes of a trial, with the addresses, key and objects needed to run it.
#[derive(Debug)]
pub(super) struct Layout {
    /// The processes, in the order in which they are started.
    pub(super) specs: Vec<ProcessSpec>,
    /// The operator address of the first keeper.
    pub(super) operator_address: SocketAddr,
    /// The operators' key.
    pub(super) operator_key: String,
    /// The objects to publish, with the addresses of this trial.
    pub(super) objects: Vec<Object>,
}

/// Keys and addresses that all keepers and entries of a trial share.
struct SharedSettings {
    peer_key: String,
    operator_key: String,
    store: SocketAddr,
    vm_list: SocketAddr,
}

/// The addresses of one VM.
struct VmAddresses {
    callers: SocketAddr,
    entry_peer: SocketAddr,
    entry_operations: SocketAddr,
    keeper_peer: SocketAddr,
    operator: SocketAddr,
    keeper_operations: SocketAddr,
}

impl VmAddresses {
    fn new(ports: &mut FreePorts) -> Result<Self, ExperimentError> {
        Ok(Self {
            callers: ports.next()?,
            entry_peer: ports.next()?,
            entry_operations: ports.next()?,
            keeper_peer: ports.next()?,
            operator: ports.next()?,
            keeper_operations: ports.next()?,
        })
    }
}

impl Layout {
    /// Plans the processes of a trial and assigns free ports to them.
    ///
    /// # Errors
    ///
    /// Fails if there are too few free ports.
    pub(super) fn new(
        plan: &ExperimentPlan,
        setting: &ResolvedSetting,
    ) -> Result<Self, ExperimentError> {
        let deployment = &plan.deployment;
        let backends = deployment.catalog.runners.len() + deployment.backends.len();
        let mut ports = FreePorts::find(6 + 2 * backends + 6 * deployment.vms.len())?;
        let key = || format!("{:032x}", rand::random::<u128>());
        let shared = SharedSettings {
            peer_key: key(),
            operator_key: key(),
            store: ports.next()?,
            vm_list: ports.next()?,
        };
        let mut specs = stand_ins(plan, shared.store, &mut ports)?;
        let new = |_: &DataCentreName| VmAddresses::new(&mut ports);
        let vms: Vec<VmAddresses> = deployment.vms.iter().map(new).collect::<Result<_, _>>()?;
        let listed = vms.iter().enumerate().map(
            |(index, vm)| json!({"vm": vm_name(index), "address": vm.callers, "state": "live"}),
        );
        let list = json!({"kind": "vms", "vms": listed.collect::<Vec<_>>()});
        specs.push(stand_in(VM_LIST_NAME, shared.vm_list, ports.next()?, list));
        for (index, vm) in vms.iter().enumerate() {
            let data_centre = deployment.vms[index].as_str();
            let seed = vms[0].keeper_peer;
            specs.push(keeper(
                index,
                data_centre,
                vm,
                seed,
                &shared,
                &setting.keeper,
            ));
            specs.push(entry(index, data_centre, vm, &shared, &setting.entry));
        }
        let find = |name: &str| specs.iter().find(|spec| spec.name == name);
        let address = |name: &str| find(name).map_or(shared.store, |spec| spec.address);
        Ok(Self {
            operator_address: vms.first().map_or(shared.store, |vm| vm.operator),
            operator_key: shared.operator_key,
            objects: deployment.objects_at(address),
            specs,
        })
    }

    /// Returns the processes of a kind.
    pub(super) fn of_kind(&self, kind: ProcessKind) -> impl Iterator<Item = &ProcessSpec> {
        self.specs.iter().filter(move |spec| spec.kind == kind)
    }
}

/// Returns the stand-ins for all but the VM list.
fn stand_ins(
    plan: &ExperimentPlan,
    store: SocketAddr,
    ports: &mut FreePorts,
) -> Result<Vec<ProcessSpec>, ExperimentError> {
    let mut specs = vec![stand_in(
        STORE_NAME,
        store,
        ports.next()?,
        json!({"kind": "kv"}),
    )];
    let weights = ports.next()?;
    let limits = json!({"kind": "weights", "limits": plan.settings.weights});
    specs.push(stand_in(WEIGHTS_NAME, weights, ports.next()?, limits));
    for runner in &plan.deployment.catalog.runners {
        let mut engine = json!(plan.settings.engine);
        engine["memory_mib"] = json!(runner.memory_mib);
        engine["adapter_pool_mib"] = json!(runner.adapter_pool_mib);
        engine["fencing"] = json!(runner.fencing);
        engine["records_runs"] = json!(false);
        let fields = json!({"kind": "engine", "weights_address": weights, "engine": engine});
        let mut spec = stand_in(runner.name.as_str(), ports.next()?, ports.next()?, fields);
        spec.kind = ProcessKind::Runner;
        specs.push(spec);
    }
    for backend in &plan.deployment.backends {
        let fields = json!({"kind": "plain"});
        specs.push(stand_in(backend, ports.next()?, ports.next()?, fields));
    }
    Ok(specs)
}

fn vm_name(index: usize) -> String {
    format!("vm-{}", index + 1)
}

fn stand_in(name: &str, address: SocketAddr, control: SocketAddr, fields: Value) -> ProcessSpec {
    let mut spec = json!({"address": address, "control_address": control});
    extend(&mut spec, fields);
    ProcessSpec {
        name: name.to_owned(),
        kind: ProcessKind::StandIn,
        settings: json!({"stand_ins": [spec], "threads": 1}),
        address,
        control,
    }
}

fn keeper(
    index: usize,
    data_centre: &str,
    vm: &VmAddresses,
    seed: SocketAddr,
    shared: &SharedSettings,
    overrides: &Map<String, Value>,
) -> ProcessSpec {
    let seeds: Vec<SocketAddr> = (index > 0).then_some(seed).into_iter().collect();
    let mut settings = json!({
        "vm": vm_name(index), "data_centre": data_centre, "peer_address": vm.keeper_peer,
        "operator_address": vm.operator, "operations_address": vm.keeper_operations,
        "entry_peer_address": vm.entry_peer, "store_addresses": [shared.store],
        "vm_list_address": shared.vm_list, "seed_addresses": seeds,
        "peer_key": shared.peer_key, "operator_key": shared.operator_key,
    });
    extend(&mut settings, Value::Object(overrides.clone()));
    ProcessSpec {
        name: format!("keeper-{}", index + 1),
        kind: ProcessKind::Keeper,
        settings,
        address: vm.keeper_peer,
        control: vm.keeper_operations,
    }
}

fn entry(
    index: usize,
    data_centre: &str,
    vm: &VmAddresses,
    shared: &SharedSettings,
    overrides: &Map<String, Value>,
) -> ProcessSpec {
    let mut settings = json!({
        "vm": vm_name(index), "data_centre": data_centre, "callers_address": vm.callers,
        "peer_address": vm.entry_peer, "operations_address": vm.entry_operations,
        "keeper_address": vm.keeper_peer, "store_addresses": [shared.store],
        "peer_key": shared.peer_key,
    });
    extend(&mut settings, Value::Object(overrides.clone()));
    ProcessSpec {
        name: format!("entry-{}", index + 1),
        kind: ProcessKind::Entry,
        settings,
        address: vm.callers,
        control: vm.entry_operations,
    }
}

fn extend(object: &mut Value, fields: Value) {
    if let (Value::Object(object), Value::Object(fields)) = (object, fields) {
        object.extend(fields);
    }
}
