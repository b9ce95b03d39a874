//! Checks that each caller received its own complete response or a visible error.

use {crate::units::RequestId, thiserror::Error};

/// How a response ended at its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The response ended as if complete.
    Complete,
    /// The response ended in an error that the caller can see.
    Failed,
}

/// A response as its caller received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseEvent {
    /// The request id.
    pub request: RequestId,
    /// The text of a correct, complete response.
    pub expected: String,
    /// The text that the caller received.
    pub received: String,
    /// How the response ended.
    pub end: ResponseEnd,
}

/// Why a history of responses is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ResponseViolation {
    /// An incomplete response ended as if complete.
    #[error("the response to {0} is truncated but ended as complete")]
    Truncated(RequestId),
    /// A response contains text of another request, or text of its own twice.
    #[error("the response to {0} contains text of another request or duplicated text")]
    UnexpectedText(RequestId),
}

/// Checks each response independently of the others.
///
/// # Errors
///
/// Returns the first violation.
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
