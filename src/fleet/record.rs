//! The record of one runner in the key-value service.

use {
    super::RunnerState,
    crate::{
        engine::{Action, ModelResident, Order},
        units::{Epoch, Incarnation, MemoryMib, ModelName, OrderId, RunnerName, VmName},
    },
    serde::{Deserialize, Serialize},
};

pub use crate::store::keys::{RUNNERS_PREFIX as RECORD_PREFIX, runner_key as record_key};

/// The owner of a runner: one incarnation of a VM's keeper.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// The VM's name.
    pub vm: VmName,
    /// The incarnation of the VM's keeper.
    pub incarnation: Incarnation,
}

/// A model that occupies memory of a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordModel {
    /// The model's name.
    pub model: ModelName,
    /// The version of the model's weights.
    pub version: String,
    /// The memory that the model occupies.
    pub memory_mib: MemoryMib,
    /// Whether the model can serve requests.
    pub ready: bool,
}

/// An order that is not known to be finished.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingOrder {
    /// The order as it is sent.
    pub order: Order,
    /// The only process that may send the order, once.
    pub sender: Owner,
    /// Whether the sender has declared that it will not send the order from now on.
    pub given_up: bool,
    /// The load slot that a model load occupies.
    pub load_slot: Option<u32>,
}

impl PendingOrder {
    /// Returns the order's id.
    pub fn id(&self) -> OrderId {
        self.order.id
    }

    /// Returns the model that the order loads or unloads.
    pub fn model(&self) -> Option<&ModelName> {
        match &self.order.action {
            Action::LoadModel { model, .. } | Action::UnloadModel { model } => Some(model),
            _ => None,
        }
    }

    /// Returns the model memory that the order needs if the engine executes it.
    pub fn memory_mib(&self) -> MemoryMib {
        match &self.order.action {
            Action::LoadModel { memory_mib, .. } => *memory_mib,
            _ => MemoryMib::default(),
        }
    }

    /// Returns whether the engine reports that it is loading or unloading the order's model.
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

/// A former owner whose adapter orders may still reach the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerOwner {
    /// The former owner.
    pub owner: Owner,
    /// The former owner's fencing epoch.
    pub epoch: Epoch,
    /// The engine incarnation that the former owner's orders name.
    pub incarnation: Incarnation,
    /// The most adapter memory that the former owner's orders may still occupy.
    pub adapter_window_mib: MemoryMib,
    /// Whether the former owner has declared that it will send no more orders.
    pub given_up: bool,
}

/// The stored state of one runner, and the orders that may still change it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerRecord {
    /// The runner's name.
    pub name: RunnerName,
    /// The runner's owner; `None` after the last owner released the runner.
    pub owner: Option<Owner>,
    /// The fencing epoch of the owner, which rises with each new owner. Engines that honour fencing
    /// reject orders with a lower epoch than the newest that they have seen.
    pub epoch: Epoch,
    /// The engine's incarnation; zero until its first status.
    pub engine: Incarnation,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Whether the owner reaches the engine.
    pub reachable: bool,
    /// The memory reserved for adapters.
    pub adapter_pool_mib: MemoryMib,
    /// The most adapter memory that the owner's orders may reserve before it reloads the record.
    pub adapter_window_mib: MemoryMib,
    /// The models that occupy memory, sorted by name and version.
    pub models: Vec<RecordModel>,
    /// The orders that are not known to be finished, oldest first.
    pub orders: Vec<PendingOrder>,
    /// Former owners whose adapter orders may still reach the engine.
    pub former_owners: Vec<FormerOwner>,
}

impl RunnerRecord {
    /// Creates the record of a runner that has had no owner yet.
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

    /// Returns whether an owner holds the record under a fencing epoch.
    pub fn is_held_by(&self, owner: &Owner, epoch: Epoch) -> bool {
        self.epoch == epoch && self.owner.as_ref() == Some(owner)
    }

    /// Returns whether a sender still owns the record, or has yet to release its orders or its
    /// adapter window.
    pub fn awaits_release_by(&self, sender: &Owner) -> bool {
        let orders = self.orders.iter();
        let formers = self.former_owners.iter();
        self.owner.as_ref() == Some(sender)
            || orders
                .filter(|pending| !pending.given_up)
                .any(|pending| pending.sender == *sender)
            || formers
                .filter(|former| !former.given_up)
                .any(|former| former.owner == *sender)
    }

    /// Returns whether the runner serves the model and no pending order unloads it.
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

/// Returns the model that a pending load will make resident.
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
