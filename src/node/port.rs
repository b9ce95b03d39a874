//! What an adapter to a platform provides: names, formats and calls.

use {
    crate::{
        discovery::{RunnerEntry, RunnerKey},
        http::{CallLimits, ClientLimits},
        relay::{AnswerHead, CallHead, ForwardHead, HeadError},
        traffic::{AdapterId, ModelId, NodeName, TrafficConfig},
    },
    futures::future::BoxFuture,
    hyper::{HeaderMap, http},
    std::{net::SocketAddr, time::Duration},
    thiserror::Error,
};

/// Where the platform keeps things in its store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreKeys {
    /// The key of the newest configuration.
    pub config: String,
    /// The start of the keys under which runners register.
    pub runners_prefix: String,
    /// The start of the keys that the system may write.
    pub own_prefix: String,
}

/// Bytes that do not have the expected form.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{what}: {reason}")]
pub struct FormatError {
    /// What was read.
    pub what: &'static str,
    /// Why it cannot be used.
    pub reason: String,
}

/// Reads and writes the platform's formats; it has no state and makes no choices.
pub trait Formats: Send + Sync {
    /// Returns where things lie in the store.
    fn keys(&self) -> StoreKeys;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be read whole.
    fn read_config(&self, bytes: &[u8]) -> Result<TrafficConfig, FormatError>;

    /// Reads a runner's entry from its key and value.
    ///
    /// # Errors
    ///
    /// Fails when it names no runner that can be used.
    fn read_runner(&self, key: &str, bytes: &[u8]) -> Result<RunnerEntry, FormatError>;

    /// Reads what a caller's request says of itself.
    ///
    /// # Errors
    ///
    /// Fails when a field that the platform defines cannot be read.
    fn read_call(&self, head: &http::request::Parts) -> Result<CallHead, HeadError>;

    /// Turns a caller's headers into those sent to a runner.
    ///
    /// Drops what only the system may set, and sets what `forward` says.
    fn write_forward(&self, headers: &mut HeaderMap, forward: &ForwardHead);

    /// Reads what a runner's answer says of itself.
    fn read_answer(&self, head: &http::response::Parts) -> AnswerHead;

    /// Writes the time after which a refused caller may come back.
    fn write_retry_after(&self, headers: &mut HeaderMap, after_ms: u64);
}

/// A change of what a runner holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Loads the newest version of a model.
    LoadModel(ModelId),
    /// Drops a model with all its adapters.
    UnloadModel(ModelId),
    /// Loads an adapter of a model that is there.
    LoadAdapter(ModelId, AdapterId),
    /// Drops an adapter.
    UnloadAdapter(ModelId, AdapterId),
}

/// An order with who gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderCall {
    /// Where the runner takes orders.
    pub address: SocketAddr,
    /// The runner that must be there.
    pub runner: RunnerKey,
    /// What to do.
    pub order: Order,
    /// Who orders.
    pub holder: NodeName,
    /// The fencing token of the holder.
    pub fencing_token: u64,
    /// The number of orders that the runner must have accepted before, if it matters.
    pub expected_orders: Option<u64>,
}

/// How a runner answered an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It is being carried out.
    Accepted,
    /// It already holds.
    AlreadyDone,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// A higher fencing token was seen.
    Fenced,
    /// Another runner has the address.
    WrongRunner,
    /// The runner does not know the order, or has no room.
    Refused,
}

/// An order whose answer is not known: it may be carried out, even much later.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the runner gave no answer: {0}")]
pub struct OrderUnknown(pub String);

/// What a runner reports of itself, some hundred milliseconds old.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerReport {
    /// When it started, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// The models that it holds, sorted by name.
    pub models: Vec<crate::discovery::ResidentModel>,
    /// Adapters on their way to it.
    pub coming: Vec<(ModelId, AdapterId)>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The number of orders that it accepted.
    pub orders_accepted: u64,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
}

/// The limits of calls to runners that are neither callers' requests nor health checks.
pub const RUNNER_CALLS: ClientLimits = ClientLimits {
    connect_timeout: Duration::from_millis(700),
    call: CallLimits {
        timeout: Duration::from_millis(1_000),
        answer_max_bytes: 1 << 20,
    },
};

/// Calls to a runner beside requests.
pub trait RunnerControl: Send + Sync {
    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Fails when no answer came.
    fn order<'a>(&'a self, call: &'a OrderCall) -> BoxFuture<'a, Result<OrderReply, OrderUnknown>>;

    /// Asks a runner for its state.
    ///
    /// # Errors
    ///
    /// Fails when no answer came, or one that cannot be read.
    fn report<'a>(
        &'a self,
        address: SocketAddr,
        runner: &'a RunnerKey,
    ) -> BoxFuture<'a, Result<RunnerReport, OrderUnknown>>;
}
