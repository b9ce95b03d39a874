//! The interface that a platform adapter implements: store keys, formats and calls to runners.

use {
    crate::{
        discovery::{RunnerEntry, RunnerKey},
        http::{CallLimits, ClientLimits},
        relay::{ForwardHead, HeadError, RequestHead, ResponseHead},
        traffic::{AdapterId, ModelId, NodeName, TrafficConfig},
    },
    futures::future::BoxFuture,
    hyper::{HeaderMap, header::HeaderName, http},
    std::{net::SocketAddr, time::Duration},
    thiserror::Error,
};

/// The keys and key prefixes that the system uses in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreKeys {
    /// The key of the published configuration.
    pub config: String,
    /// The prefix of the keys under which runners register.
    pub runners_prefix: String,
    /// The prefix of the keys that the system itself writes.
    pub own_prefix: String,
    /// The prefix of the keys under which the system records streams; nodes don't watch it, so it
    /// is not below `own_prefix`.
    pub streams_prefix: String,
}

/// The error for data that does not have the expected format.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{subject}: {reason}")]
pub struct FormatError {
    /// The kind of the data, such as `configuration`.
    pub subject: &'static str,
    /// The reason why the data cannot be decoded or used.
    pub reason: String,
}

/// Decodes and encodes the platform's formats; implementations are stateless.
pub trait Formats: Send + Sync {
    /// Returns the keys and key prefixes in the platform's store.
    fn keys(&self) -> StoreKeys;

    /// Decodes a published configuration.
    ///
    /// # Errors
    ///
    /// Fails if any part of the configuration is invalid.
    fn read_config(&self, bytes: &[u8]) -> Result<TrafficConfig, FormatError>;

    /// Decodes a runner's entry from its key and value.
    ///
    /// # Errors
    ///
    /// Fails if the key or the value is invalid.
    fn read_runner(&self, key: &str, bytes: &[u8]) -> Result<RunnerEntry, FormatError>;

    /// Decodes the platform's headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a header of the platform is missing or invalid.
    fn read_request_head(&self, head: &http::request::Parts) -> Result<RequestHead, HeadError>;

    /// Turns the headers of a caller's request into those of the request to a runner.
    ///
    /// Removes the headers that only the system may set, then sets those given by `forward`.
    fn write_forward_headers(&self, headers: &mut HeaderMap, forward: &ForwardHead);

    /// Returns the headers that reach the runner even if a caller names them in `Connection`.
    fn end_to_end_headers(&self) -> &[HeaderName] {
        &[]
    }

    /// Decodes the platform's headers of a runner's response.
    fn read_response_head(&self, head: &http::response::Parts) -> ResponseHead;

    /// Sets the header that says after which time a refused caller may retry.
    fn write_retry_after(&self, headers: &mut HeaderMap, after_ms: u64);
}

/// An instruction to a runner to load or unload a model or an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Loads the newest version of a model.
    LoadModel(ModelId),
    /// Unloads a model with all of its adapters.
    UnloadModel(ModelId),
    /// Loads an adapter of a loaded model.
    LoadAdapter(ModelId, AdapterId),
    /// Unloads an adapter.
    UnloadAdapter(ModelId, AdapterId),
}

/// An order with its recipient and the leader that sends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderCall {
    /// The address of the runner.
    pub address: SocketAddr,
    /// The runner that is expected at the address.
    pub runner: RunnerKey,
    /// The order.
    pub order: Order,
    /// The name of the leader that sends the order.
    pub leader: NodeName,
    /// The fencing token of the leader.
    pub fencing_token: u64,
    /// The number of orders that the runner must have accepted before; `None` skips the check.
    pub expected_orders: Option<u64>,
}

/// The reply of a runner to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The runner executes the order.
    Accepted,
    /// The runner is already in the ordered state.
    AlreadyDone,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The runner has received a higher fencing token.
    Fenced,
    /// The address belongs to another runner.
    WrongRunner,
    /// The runner does not support the order or has no memory for it.
    Refused,
}

/// The error of a call to a runner without a usable response.
///
/// The runner may still execute an order that failed in this way, even much later.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("no usable response from the runner: {0}")]
pub struct RunnerCallError(pub String);

/// The state that a runner reports, which may be a few hundred milliseconds old.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerReport {
    /// The start time of the runner in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// The loaded models, sorted by name.
    pub models: Vec<crate::discovery::ResidentModel>,
    /// The adapters that are being loaded.
    pub loading_adapters: Vec<(ModelId, AdapterId)>,
    /// Whether an order is in progress.
    pub order_in_progress: bool,
    /// The number of orders that the runner has accepted.
    pub orders_accepted: u64,
    /// The number of waiting requests.
    pub queued_requests: u32,
    /// The number of running requests.
    pub running_requests: u32,
}

/// The limits of order and report calls to runners.
pub const RUNNER_CALL_LIMITS: ClientLimits = ClientLimits {
    connect_timeout: Duration::from_millis(700),
    call: CallLimits {
        timeout: Duration::from_millis(1_000),
        answer_max_bytes: 1 << 20,
    },
};

/// Sends orders to runners and requests their reports.
pub trait RunnerControl: Send + Sync {
    /// Sends an order to a runner.
    ///
    /// # Errors
    ///
    /// Fails if the runner's reply is missing or not known; the order may have been executed.
    fn order<'a>(
        &'a self,
        call: &'a OrderCall,
    ) -> BoxFuture<'a, Result<OrderReply, RunnerCallError>>;

    /// Requests the report of a runner.
    ///
    /// # Errors
    ///
    /// Fails if there is no response or the response is invalid.
    fn report<'a>(
        &'a self,
        address: SocketAddr,
        runner: &'a RunnerKey,
    ) -> BoxFuture<'a, Result<RunnerReport, RunnerCallError>>;
}
