//! A move that waits to be carried out.

use {super::Move, std::time::Duration, tokio::time::Instant};

/// How long a move that can't be carried out is tried again.
const MOVE_LASTING_S: u64 = 30;

/// A move that waits to be carried out.
#[derive(Debug)]
pub(super) struct QueuedMove {
    pub(super) wanted: Move,
    pub(super) decision: String,
    pub(super) until: Instant,
}

impl QueuedMove {
    pub(super) fn new(wanted: Move, decision: String) -> Self {
        Self {
            wanted,
            decision,
            until: Instant::now() + Duration::from_secs(MOVE_LASTING_S),
        }
    }
}
