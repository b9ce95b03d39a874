//! The record of one runner, as it is kept in the key-value service.

use {
    super::RunnerState,
    crate::{
        engine::{Action, ModelResident, Order},
        units::{Epoch, Incarnation, MemoryMib, ModelName, OrderId, RunnerName, VmName},
    },
    serde::{Deserialize, Serialize},
};

pub use crate::store::keys::{RUNNERS_PREFIX as RECORD_PREFIX, runner_key as record_key};

/// One start of one VM's keeper.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// The VM.
    pub vm: VmName,
    /// The number of its keeper's start.
    pub incarnation: Incarnation,
}

/// A model that holds memory of a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordModel {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub version: String,
    /// The memory that it takes.
    pub memory_mib: MemoryMib,
    /// Whether it can serve.
    pub ready: bool,
}

/// An order that is not known to be finished.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingOrder {
    /// The order as it is sent.
    pub order: Order,
    /// Who may send it, once.
    pub sender: Owner,
    /// Whether the sender said that it will not send it any more.
    pub given_up: bool,
    /// The slot of the weight store that a load takes.
    pub load_slot: Option<u32>,
}

impl PendingOrder {
    /// Returns the order's id.
    pub fn id(&self) -> OrderId {
        self.order.id
    }

    /// Returns the model that the order is about.
    pub fn model(&self) -> Option<&ModelName> {
        match &self.order.action {
            Action::LoadModel { model, .. } | Action::UnloadModel { model } => Some(model),
            _ => None,
        }
    }

    /// Returns the memory that the order takes if it is carried out.
    pub fn memory_mib(&self) -> MemoryMib {
        match &self.order.action {
            Action::LoadModel { memory_mib, .. } => *memory_mib,
            _ => MemoryMib::default(),
        }
    }

    /// Returns whether the engine shows that it is about the order's model.
    pub fn is_in_progress(&self, residents: &[ModelResident]) -> bool {
        residents
            .iter()
            .any(|resident| !resident.ready && self.model() == Some(&resident.model))
    }

    /// Returns whether the order unloads the model.
    pub fn unloads(&self, name: &ModelName) -> bool {
        matches!(&self.order.action, Action::UnloadModel { model } if model == name)
    }
}

/// An earlier owner whose adapter orders may still reach the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerOwner {
    /// The earlier owner.
    pub owner: Owner,
    /// Its fencing number.
    pub epoch: Epoch,
    /// The engine start that its orders name.
    pub incarnation: Incarnation,
    /// The most adapter memory that its orders may still take.
    pub adapter_window_mib: MemoryMib,
    /// Whether it said that it will not send any more.
    pub given_up: bool,
}

/// What is known of one runner and of the orders that may still change it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerRecord {
    /// The runner.
    pub name: RunnerName,
    /// Its owner, unless the last one handed it over.
    pub owner: Option<Owner>,
    /// The fencing number of the owner.
    pub epoch: Epoch,
    /// The number of the engine's start; zero until its first status.
    pub engine: Incarnation,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Whether the owner reaches the engine.
    pub reachable: bool,
    /// The memory reserved for adapters.
    pub adapter_pool_mib: MemoryMib,
    /// The most adapter memory that the owner's orders take before it reads the record again.
    pub adapter_window_mib: MemoryMib,
    /// The models that hold memory, sorted by name and version.
    pub models: Vec<RecordModel>,
    /// The orders not known to be finished, in the order of writing.
    pub orders: Vec<PendingOrder>,
    /// Earlier owners whose adapter orders may still arrive.
    pub former_owners: Vec<FormerOwner>,
}

impl RunnerRecord {
    /// Creates the record of a runner that nobody has owned yet.
    pub fn new(name: RunnerName) -> Self {
        Self {
            name,
            owner: None,
            epoch: Epoch::default(),
            engine: Incarnation::default(),
            leaving: false,
            reachable: true,
            adapter_pool_mib: MemoryMib::default(),
            adapter_window_mib: MemoryMib::default(),
            models: Vec::new(),
            orders: Vec::new(),
            former_owners: Vec::new(),
        }
    }

    /// Returns whether this owner holds the record under this fencing number.
    pub fn is_held_by(&self, owner: &Owner, epoch: Epoch) -> bool {
        self.epoch == epoch && self.owner.as_ref() == Some(owner)
    }

    /// Returns whether something is kept for a sender that has not said that it sends no more.
    pub fn waits_for(&self, sender: &Owner) -> bool {
        let orders = self.orders.iter();
        let formers = self.former_owners.iter();
        self.owner.as_ref() == Some(sender)
            || orders
                .filter(|open| !open.given_up)
                .any(|open| open.sender == *sender)
            || formers
                .filter(|former| !former.given_up)
                .any(|former| former.owner == *sender)
    }

    /// Returns whether a copy of the model serves here and no order unloads it.
    pub fn serves(&self, model: &ModelName) -> bool {
        let ready = self
            .models
            .iter()
            .any(|held| held.ready && held.model == *model);
        let unloading = self.orders.iter().any(|order| order.unloads(model));
        ready && !unloading && !self.leaving && self.reachable
    }
}

impl From<&RunnerRecord> for RunnerState {
    fn from(record: &RunnerRecord) -> Self {
        let held = record.models.iter().map(|held| ModelResident {
            model: held.model.clone(),
            version: held.version.clone(),
            ready: held.ready && !record.orders.iter().any(|order| order.unloads(&held.model)),
        });
        let loading = record.orders.iter().filter_map(loading_resident);
        let mut models: Vec<ModelResident> = held.chain(loading).collect();
        models.sort_by(|a, b| (&a.model, &a.version).cmp(&(&b.model, &b.version)));
        Self {
            name: record.name.clone(),
            epoch: record.epoch,
            incarnation: record.engine,
            leaving: record.leaving,
            reachable: record.reachable,
            models,
            adapters: Vec::new(),
        }
    }
}

fn loading_resident(pending: &PendingOrder) -> Option<ModelResident> {
    match &pending.order.action {
        Action::LoadModel { model, version, .. } => Some(ModelResident {
            model: model.clone(),
            version: version.clone(),
            ready: false,
        }),
        _ => None,
    }
}
