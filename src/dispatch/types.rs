//! What the parts of a node tell one another about runners and demand.

use {
    crate::{
        discovery::{RunnerEntry, RunnerKey},
        relay::GenerationRequest,
        traffic::{AdapterId, ModelId, ServiceId},
    },
    serde::{Deserialize, Serialize},
    tokio::time::Instant,
};

/// A request that wants a runner.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// The service that it goes to.
    pub service: ServiceId,
    /// What it generates; `None` for plain services.
    pub generation: Option<GenerationRequest>,
    /// The rank of its route; 0 comes first.
    pub priority: u8,
    /// When the first part of the answer is due for its full worth.
    pub target_at: Instant,
    /// When it has to have a runner, or is refused.
    pub give_up_at: Instant,
    /// When its caller no longer wants an answer.
    pub ends_at: Instant,
    /// Runners that it has already been sent to.
    pub tried: Vec<RunnerKey>,
}

/// Why a request gets no runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// When it is worth while to come back.
    pub retry_after_ms: u64,
}

impl Refused {
    /// A refusal without a better estimate.
    pub const SOON: Self = Self {
        retry_after_ms: 500,
    };

    /// The refusal of a model that the service does not declare.
    pub const UNKNOWN_MODEL: Self = Self {
        retry_after_ms: 1_000,
    };
}

/// How a try at a runner ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TryOutcome {
    /// The answer is complete.
    Complete,
    /// The runner answered with a failure of its own.
    Failed,
    /// The runner refused without running it.
    Shed,
    /// The runner does not hold the model or adapter.
    Absent,
    /// Another runner has the address.
    WrongRunner,
    /// The connection could not be made.
    Unreachable,
    /// The answer broke off or made no sense.
    Broken,
    /// The caller left.
    Cancelled,
}

impl TryOutcome {
    /// Returns whether the request took up a place at the runner.
    pub fn held_place(self) -> bool {
        match self {
            Self::Complete | Self::Failed | Self::Broken | Self::Cancelled => true,
            Self::Shed | Self::Absent | Self::WrongRunner | Self::Unreachable => false,
        }
    }
}

/// A change of what a runner holds, known before the runner's entry shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidencyNote {
    /// The runner's name.
    pub runner: crate::traffic::RunnerId,
    /// Its start.
    pub born_unix_ms: u64,
    /// The model.
    pub model: ModelId,
    /// The adapter; `None` for the model itself.
    pub adapter: Option<AdapterId>,
    /// Whether it is held from now on.
    pub held: bool,
}

/// A runner with its load over all nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerView {
    /// Its entry, with the notes that came after it worked in.
    pub entry: RunnerEntry,
    /// Requests in flight from all nodes.
    pub in_flight: u32,
    /// Requests in flight from all nodes, by model and adapter.
    pub in_use: Vec<(ModelId, Option<AdapterId>, u32)>,
}

/// The demand for a model or one of its adapters, over all nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// The service.
    pub service: ServiceId,
    /// The model.
    pub model: ModelId,
    /// The adapter; `None` for requests without one.
    pub adapter: Option<AdapterId>,
    /// Requests a second over about the last two seconds.
    pub requests_per_s: f64,
    /// Requests that wait for a copy now.
    pub waiting: u32,
    /// The priority of the most urgent request that waits for room at the runners that hold it.
    pub room_priority: Option<u8>,
}

impl ModelDemand {
    /// Returns what is in demand.
    pub fn key(&self) -> (&ServiceId, &ModelId, Option<&AdapterId>) {
        (&self.service, &self.model, self.adapter.as_ref())
    }
}
