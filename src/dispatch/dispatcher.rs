//! The entry point of dispatch: assigns a runner to each request or refuses it.

use {
    super::{
        Assignment, DispatchRefusal, DispatchRequest, RunnerRegistry, registry_shared::StartOutcome,
    },
    crate::{discovery::RunnerKey, streams::StreamVersions},
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
