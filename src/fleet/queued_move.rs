//! A move in the queue of a runner.

use {super::Move, std::time::Duration, tokio::time::Instant};

/// How long a move that cannot be executed stays queued.
const MOVE_LASTING_S: u64 = 30;

/// A move in the queue of a runner.
#[derive(Debug)]
pub(super) struct QueuedMove {
    pub(super) wanted: Move,
    pub(super) decision: String,
    pub(super) until: Instant,
}

impl QueuedMove {
    /// Creates a queued move that expires after [`MOVE_LASTING_S`].
    pub(super) fn new(wanted: Move, decision: String) -> Self {
        Self {
            wanted,
            decision,
            until: Instant::now() + Duration::from_secs(MOVE_LASTING_S),
        }
    }
}
