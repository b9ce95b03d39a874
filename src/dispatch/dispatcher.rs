//! The entry point of dispatch: assigns a runner to each request or refuses it.

use {
    super::{Place, Refused, RunnerBoard, Wanted, registry_shared::StartOutcome},
    std::sync::Arc,
};

/// Assigns runners to requests.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    board: Arc<RunnerBoard>,
}

impl Dispatcher {
    /// Creates a dispatcher over the shared state of the runners.
    pub fn new(board: Arc<RunnerBoard>) -> Self {
        Self { board }
    }

    /// Assigns a runner to a request as soon as one has a free slot and holds the model.
    ///
    /// Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// Fails once no runner is expected to be free in time.
    pub async fn place(&self, wanted: &Wanted) -> Result<Place, Refused> {
        match self.board.shared.start(wanted)? {
            StartOutcome::Assigned(place) => Ok(place),
            StartOutcome::Queued(pending) => pending.wait().await,
        }
    }
}
