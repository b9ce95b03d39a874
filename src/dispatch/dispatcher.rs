//! Gives each request a runner, or a refusal.

use {
    super::{Place, Refused, RunnerBoard, Wanted, board_shared::Start},
    std::sync::Arc,
};

/// Gives requests their runners.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    board: Arc<RunnerBoard>,
}

impl Dispatcher {
    /// Makes a dispatcher over what a board knows.
    pub fn new(board: Arc<RunnerBoard>) -> Self {
        Self { board }
    }

    /// Gives a request a place at a runner, as soon as there is one that can serve it.
    ///
    /// Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// Fails once it is plain that no runner will be there in time.
    pub async fn place(&self, wanted: &Wanted) -> Result<Place, Refused> {
        match self.board.shared.start(wanted)? {
            Start::Placed(place) => Ok(place),
            Start::Waits(waiting) => waiting.answer().await,
        }
    }
}
