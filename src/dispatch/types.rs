//! Types that dispatch shares with the relay, the gossip and the planner.

use {
    crate::{
        discovery::{RunnerEntry, RunnerKey},
        quarantine::RequestDigest,
        relay::GenerationRequest,
        traffic::{AdapterId, ModelId, ServiceId, SoftwareVersion},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::Instant,
};

/// A request that needs a runner.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    /// The service that the request is routed to.
    pub service: ServiceId,
    /// The generation that the request asks for; `None` for plain services.
    pub generation: Option<GenerationRequest>,
    /// The only software version of runners that may serve the request, for a stream that goes on.
    pub software: Option<SoftwareVersion>,
    /// Identifies the request if it comes again.
    pub digest: RequestDigest,
    /// The rank of the request's priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether the route is of the most urgent ones and the request within its fair share, whatever
    /// the priority of its workspace.
    pub is_urgent: bool,
    /// The target for the first event of the response.
    pub target_at: Instant,
    /// The latest instant for an assignment; the request is refused by then.
    pub assign_by: Instant,
    /// The instant after which the caller no longer waits for a response.
    pub caller_deadline: Instant,
    /// Runners that the request was already sent to.
    pub tried_runners: Vec<RunnerKey>,
    /// Whether another node may serve the request if this one reaches no runner.
    pub pass_on: PassOn,
}

/// Whether a request may be passed on to another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PassOn {
    /// Another node may serve the request.
    Allowed,
    /// Another node passed the request on to this one.
    Done,
    /// There is no other node, or a runner may have run the request.
    Impossible,
}

/// The refusal of a request that no runner can serve in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchRefusal {
    /// The delay after which the caller should retry.
    pub retry_after_ms: u64,
    /// Why no runner gets the request.
    pub cause: RefusalCause,
}

/// The cause of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// No runner with the model is expected to be free in time.
    NoCapacity,
    /// This node reaches no runner of the service.
    OutOfReach,
    /// No ready runner of the requested software version holds the model.
    NoSoftware,
    /// The request, or a part of its prompt, is quarantined, as it crashed runners.
    Quarantined,
}

impl DispatchRefusal {
    /// The refusal without an estimate of the wait.
    pub const DEFAULT_RETRY: Self = Self {
        retry_after_ms: 500,
        cause: RefusalCause::NoCapacity,
    };

    /// The refusal of a request whose service this node does not reach.
    pub const OUT_OF_REACH: Self = Self {
        retry_after_ms: 300,
        cause: RefusalCause::OutOfReach,
    };

    /// The refusal of a model that the service does not declare.
    pub const UNKNOWN_MODEL: Self = Self {
        retry_after_ms: 1_000,
        cause: RefusalCause::NoCapacity,
    };

    /// The refusal of a stream whose software version no ready runner has.
    ///
    /// A runner that crashed is usually back after this time.
    pub const NO_SOFTWARE: Self = Self {
        retry_after_ms: 2_000,
        cause: RefusalCause::NoSoftware,
    };

    /// Returns the refusal of a prompt that is quarantined for some time.
    pub(super) fn quarantined(remaining: Duration) -> Self {
        Self {
            retry_after_ms: remaining.as_millis() as u64,
            cause: RefusalCause::Quarantined,
        }
    }
}

/// The outcome of an attempt at a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The response is complete.
    Complete,
    /// The runner responded with an error.
    Failed,
    /// The runner refused the request without running it.
    Shed,
    /// The runner does not hold the model or adapter.
    Absent,
    /// Another runner responds at the address.
    WrongRunner,
    /// The connection to the runner failed.
    Unreachable,
    /// The request was not sent, as the runner may not be sent requests any more.
    Withheld,
    /// The response broke off or was malformed.
    Broken,
    /// The caller closed the connection.
    Cancelled,
}

impl AttemptOutcome {
    /// Returns whether the attempt occupied a slot of the runner.
    pub fn occupied_slot(self) -> bool {
        match self {
            Self::Complete | Self::Failed | Self::Broken | Self::Cancelled => true,
            Self::Shed | Self::Absent | Self::WrongRunner | Self::Unreachable | Self::Withheld => {
                false
            }
        }
    }
}

/// A load or drop of a model or adapter, known before the runner's entry shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidencyChange {
    /// The runner's name.
    pub runner: crate::traffic::RunnerId,
    /// The start time of the runner.
    pub born_unix_ms: u64,
    /// The model.
    pub model: ModelId,
    /// The adapter; `None` for the model itself.
    pub adapter: Option<AdapterId>,
    /// Whether the model or adapter is held after the change.
    pub held: bool,
}

/// A runner with its load from all nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerView {
    /// The runner's entry with the pending residency changes applied.
    pub entry: RunnerEntry,
    /// Requests in flight from all nodes.
    pub in_flight: u32,
    /// Requests in flight from all nodes, by model and adapter.
    pub in_use: Vec<(ModelId, Option<AdapterId>, u32)>,
}

/// The demand for a model or one of its adapters, at one node or summed over nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// The service.
    pub service: ServiceId,
    /// The model.
    pub model: ModelId,
    /// The adapter; `None` for requests without one.
    pub adapter: Option<AdapterId>,
    /// Requests per second, averaged over about two seconds.
    pub requests_per_s: f64,
    /// Requests that wait for a copy now.
    pub waiting: u32,
    /// The priority of the most urgent request that waits for a free slot at runners with the
    /// variant.
    pub room_priority: Option<u8>,
}

impl ModelDemand {
    /// Returns the sort key: service, model and adapter.
    pub fn key(&self) -> (&ServiceId, &ModelId, Option<&AdapterId>) {
        (&self.service, &self.model, self.adapter.as_ref())
    }
}
