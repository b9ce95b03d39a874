//! The messages of the order interface, as JSON over HTTP.
//!
//! `POST /orders` takes an [`Order`] and answers with an [`OrderReply`]; `GET /status` answers
//! with a [`EngineStatus`].

use {
    super::EngineError,
    crate::units::{AdapterName, Epoch, Incarnation, MemoryMib, ModelName, OrderId},
    futures::future::BoxFuture,
    serde::{Deserialize, Serialize},
};

/// An order to a model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identifies the order; an engine applies one id at most once.
    pub id: OrderId,
    /// The fencing number of the sender.
    pub epoch: Epoch,
    /// The engine start that the order is meant for; another start refuses it.
    pub incarnation: Incarnation,
    /// What is to be done.
    pub action: Action,
}

/// The action of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// Loads a model from the weight store.
    LoadModel {
        /// The model.
        model: ModelName,
        /// The version of its weights.
        version: String,
        /// The memory that it takes.
        memory_mib: MemoryMib,
    },
    /// Drops a model once its running requests are done.
    UnloadModel {
        /// The model.
        model: ModelName,
    },
    /// Loads an adapter into the adapter pool.
    LoadAdapter {
        /// The adapter.
        adapter: AdapterName,
        /// The model that it adapts.
        model: ModelName,
        /// The memory that it takes.
        memory_mib: MemoryMib,
    },
    /// Drops an adapter.
    UnloadAdapter {
        /// The adapter.
        adapter: AdapterName,
    },
    /// Changes what the engine does.
    ChangeRole {
        /// The new role.
        role: EngineRole,
    },
}

/// What part of a request an engine works on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prompts and tokens.
    #[default]
    Both,
    /// Prompts only; the KV cache is exported.
    Prefill,
    /// Tokens only; the KV cache is imported.
    Decode,
}

/// The engine's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum OrderReply {
    /// The order is done.
    Done,
    /// The order is in progress; the status shows its completion.
    Accepted,
    /// The order carried an old fencing number.
    Fenced {
        /// The newest fencing number that the engine has seen.
        newest: Epoch,
    },
    /// The order can't be done.
    Refused {
        /// Why, for people.
        reason: String,
    },
}

/// What an engine reports about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The number of this start.
    pub incarnation: Incarnation,
    /// Whether the engine is about to leave and takes no new work.
    pub leaving: bool,
    /// Its role.
    pub role: EngineRole,
    /// The models in memory, sorted by name.
    pub models: Vec<ModelResident>,
    /// The adapters in memory, sorted by name.
    pub adapters: Vec<AdapterName>,
    /// The ids of recent orders that are finished, whether done or refused.
    pub finished: Vec<OrderId>,
    /// Its load.
    pub load: EngineLoad,
}

/// A model in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelResident {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub version: String,
    /// Whether it can serve; a model that loads or unloads holds memory and cannot.
    pub ready: bool,
}

/// How busy an engine is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests that wait for a place in a batch.
    pub waiting: u32,
    /// Requests in the batch.
    pub running: u32,
    /// The share of the KV cache in use, in thousandths.
    pub kv_used_permille: u16,
}

/// The order interface of one model engine.
pub trait Engine: Send + Sync {
    /// Sends an order.
    ///
    /// # Errors
    ///
    /// With [`EngineError::Unknown`] the order may still take effect.
    fn send(&self, order: Order) -> BoxFuture<'_, Result<OrderReply, EngineError>>;

    /// Queries the engine's status.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached or stays silent.
    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, EngineError>>;
}
