//! The entry point of dispatch: assigns a runner to each request or refuses it.

use {
    super::{
        Assignment, DispatchRefusal, DispatchRequest, RunnerRegistry, registry_shared::StartOutcome,
    },
    crate::{
        discovery::RunnerKey,
        streams::StreamVersions,
        traffic::{ServiceId, ZoneId},
    },
    std::sync::Arc,
    tokio::time::Instant,
};

/// Assigns runners to requests.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    registry: Arc<RunnerRegistry>,
}

impl Dispatcher {
    /// Creates a dispatcher over the shared state of the runners.
    pub fn new(registry: Arc<RunnerRegistry>) -> Self {
        Self { registry }
    }

    /// Returns the software versions of runners and streams.
    pub fn streams(&self) -> &StreamVersions {
        &self.registry.streams
    }

    /// Records that a runner could not be reached.
    pub fn record_unreachable(&self, runner: &RunnerKey) {
        self.registry
            .shared
            .record_unreachable(runner, Instant::now());
    }

    /// Records that another node did not reach a service either.
    pub fn record_others_out(&self, service: &ServiceId) {
        self.registry
            .shared
            .record_others_out(service, Instant::now());
    }

    /// Returns the data centre of this node.
    pub fn zone(&self) -> &ZoneId {
        &self.registry.zone
    }

    /// Returns whether this node reaches no runner of a service.
    pub fn is_out_of_reach(&self, service: &ServiceId) -> bool {
        let shared = &self.registry.shared;
        shared.with_state(|state, _| state.service(service).reach.is_out())
    }

    /// Returns the runners of a service.
    pub fn runners_of(&self, service: &ServiceId) -> Vec<RunnerKey> {
        self.registry.shared.with_state(|state, _| {
            let runners = state.service(service).runners.iter();
            runners.map(|runner| runner.entry.key.clone()).collect()
        })
    }

    /// Assigns a runner to a request as soon as one has a free slot and holds the model.
    ///
    /// Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// Fails once no runner is expected to be free in time.
    pub async fn assign(&self, request: &DispatchRequest) -> Result<Assignment, DispatchRefusal> {
        match self.registry.shared.start(request)? {
            StartOutcome::Assigned(assignment) => Ok(assignment),
            StartOutcome::Queued(pending) => pending.wait().await,
        }
    }
}
