//! Judges the answers that callers got: whole, their own, or visibly broken.

use {crate::units::RequestId, thiserror::Error};

/// How an answer ended at its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseEnd {
    /// It ended as if complete.
    Complete,
    /// It ended in a visible error.
    Failed,
}

/// What one caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseEvent {
    /// The request.
    pub request: RequestId,
    /// The text that was requested.
    pub expected: String,
    /// The text that came.
    pub received: String,
    /// How it ended.
    pub end: ResponseEnd,
}

/// Why a history is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ResponseViolation {
    /// An answer that is not whole ended as if it were.
    #[error("the answer to {0} was cut short")]
    Truncated(RequestId),
    /// An answer holds text that does not belong to it.
    #[error("the answer to {0} holds foreign or doubled text")]
    UnexpectedText(RequestId),
}

/// Judges each answer by itself.
///
/// # Errors
///
/// Returns the first fault.
pub fn check_responses(events: &[ResponseEvent]) -> Result<(), ResponseViolation> {
    for event in events {
        if !event.expected.starts_with(&event.received) {
            return Err(ResponseViolation::UnexpectedText(event.request));
        }
        if event.end == ResponseEnd::Complete && event.received != event.expected {
            return Err(ResponseViolation::Truncated(event.request));
        }
    }
    Ok(())
}
