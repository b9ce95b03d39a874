//! Refusals of requests by admission control.

use std::fmt;

/// The refusal of a request that has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{reason}; retry after {retry_after_ms} ms")]
pub struct Refusal {
    /// The reason of the refusal.
    pub reason: RefusalReason,
    /// The delay after which a retry may succeed.
    pub retry_after_ms: u64,
}

/// The reason why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue is too long for the request to meet its target.
    CannotMakeTarget,
    /// The request waited until it could no longer meet its target.
    WaitedTooLong,
    /// The queue has reached its maximum length.
    QueueFull,
}

impl RefusalReason {
    /// Returns the name of the reason in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::CannotMakeTarget => "cannot_make_target",
            Self::WaitedTooLong => "waited_too_long",
            Self::QueueFull => "queue_full",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::CannotMakeTarget => "the request can't make its target",
            Self::WaitedTooLong => "the request waited too long",
            Self::QueueFull => "the queue is full",
        })
    }
}
