//! The entry point of dispatch: assigns a runner to each request or refuses it.

use {
    super::{
        Assignment, DispatchRefusal, DispatchRequest, RunnerRegistry, registry_shared::StartOutcome,
    },
    std::sync::Arc,
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
