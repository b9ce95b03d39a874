//! Gives each request a runner, or a refusal.

use {
    super::{Refused, RunnerBoard, TryOutcome, Wanted},
    crate::discovery::RunnerEntry,
    std::sync::Arc,
    tokio::time::Instant,
};

/// Gives requests their runners.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    board: Arc<RunnerBoard>,
}

/// A request's place at a runner; dropping it counts the request as cancelled.
#[derive(Debug)]
pub struct Place {
    /// The runner.
    pub runner: RunnerEntry,
    /// The rank to tell the runner, from 0, the first, to 9.
    pub priority: u8,
    outcome: Option<TryOutcome>,
}

impl Place {
    /// Notes that the first part of the answer came.
    pub fn first_event(&mut self, _at: Instant) {}

    /// Notes how the try ended, and gives the place back.
    pub fn finish(mut self, outcome: TryOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _outcome = self.outcome.unwrap_or(TryOutcome::Cancelled);
    }
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
        let runners = self.board.runners();
        let found = runners.into_iter().find(|view| {
            view.entry.service == wanted.service && !wanted.tried.contains(&view.entry.key)
        });
        match found {
            Some(view) => Ok(Place {
                runner: view.entry,
                priority: wanted.priority,
                outcome: None,
            }),
            None => Err(Refused {
                retry_after_ms: 500,
            }),
        }
    }
}
