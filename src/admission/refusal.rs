//! Why a request is refused.

use std::fmt;

/// A request is refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{reason}, worth another try in {retry_after_ms} ms")]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When another try may succeed.
    pub retry_after_ms: u64,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue is so long that the request can't make its target.
    CannotMakeTarget,
    /// The request waited until its target was out of reach.
    WaitedTooLong,
    /// The queue holds as many requests as it may.
    QueueFull,
}

impl RefusalReason {
    /// Returns the name under which refusals of this kind are counted.
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
