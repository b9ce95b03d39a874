//! A move in the queue of a runner.

use {super::Move, std::time::Duration, tokio::time::Instant};

/// How long a move that cannot be executed stays queued.
const MOVE_EXPIRY_S: u64 = 30;

/// A move in the queue of a runner.
#[derive(Debug)]
pub(super) struct QueuedMove {
    pub(super) request: Move,
    pub(super) decision: String,
    pub(super) expires_at: Instant,
}

impl QueuedMove {
    /// Creates a queued move that expires after [`MOVE_EXPIRY_S`].
    pub(super) fn new(request: Move, decision: String) -> Self {
        Self {
            request,
            decision,
            expires_at: Instant::now() + Duration::from_secs(MOVE_EXPIRY_S),
        }
    }
}
