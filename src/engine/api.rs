//! Messages between a keeper and a model engine, as JSON over HTTP.
//!
//! `POST /orders` takes an [`Order`] and returns an [`OrderReply`]; `GET /status` returns an
//! [`EngineStatus`].

use {
    super::EngineError,
    crate::units::{AdapterName, Epoch, Incarnation, MemoryMib, ModelName, OrderId},
    futures::future::BoxFuture,
    serde::{Deserialize, Serialize},
};

/// An order to a model engine, such as loading a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The id of the order; an engine applies each id at most once.
    pub id: OrderId,
    /// The fencing number of the sender.
    pub epoch: Epoch,
    /// The engine incarnation that the order is meant for; any other incarnation refuses the order.
    pub incarnation: Incarnation,
    /// The action to perform.
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
        /// The memory that the model occupies.
        memory_mib: MemoryMib,
    },
    /// Unloads a model once its running requests are finished.
    UnloadModel {
        /// The model.
        model: ModelName,
    },
    /// Loads an adapter into the adapter pool.
    LoadAdapter {
        /// The adapter.
        adapter: AdapterName,
        /// The base model of the adapter.
        model: ModelName,
        /// The memory that the adapter occupies.
        memory_mib: MemoryMib,
    },
    /// Unloads an adapter.
    UnloadAdapter {
        /// The adapter.
        adapter: AdapterName,
    },
    /// Changes the role of the engine.
    ChangeRole {
        /// The new role.
        role: EngineRole,
    },
}

/// The phases of a request that an engine executes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only; the KV cache is exported to a decode engine.
    Prefill,
    /// Decode only; the KV cache is imported from a prefill engine.
    Decode,
}

/// An engine's reply to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum OrderReply {
    /// The order has been carried out.
    Done,
    /// The order is in progress; the engine's status shows its completion.
    Accepted,
    /// The order carried an outdated fencing number.
    Fenced {
        /// The highest fencing number that the engine has seen.
        newest: Epoch,
    },
    /// The order cannot be carried out.
    Refused {
        /// The reason of the refusal, as text for operators.
        reason: String,
    },
}

/// The state that an engine reports about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The incarnation of the engine, the number of its current start.
    pub incarnation: Incarnation,
    /// Whether the engine is about to leave and accepts no new requests.
    pub leaving: bool,
    /// The role of the engine.
    pub role: EngineRole,
    /// The models in memory, sorted by name.
    pub models: Vec<ModelResident>,
    /// The adapters in memory, sorted by name.
    pub adapters: Vec<AdapterName>,
    /// The ids of recent orders that are finished, whether carried out or refused.
    pub finished: Vec<OrderId>,
    /// The load of the engine.
    pub load: EngineLoad,
}

/// A model in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelResident {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub version: String,
    /// Whether the model can serve requests; while loading or unloading, it only occupies memory.
    pub ready: bool,
}

/// The load of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests that wait to be added to the batch.
    pub waiting: u32,
    /// Requests in the batch.
    pub running: u32,
    /// The share of the KV cache in use, in thousandths.
    pub kv_used_permille: u16,
}

/// The order interface of one model engine.
pub trait Engine: Send + Sync {
    /// Sends an order and returns the engine's reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine cannot be reached, does not reply or rejects the request.
    /// After [`EngineError::Unknown`] the order may still take effect.
    fn send(&self, order: Order) -> BoxFuture<'_, Result<OrderReply, EngineError>>;

    /// Queries the engine's status.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine cannot be reached or does not respond in time.
    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, EngineError>>;
}
