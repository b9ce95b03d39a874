//! Judges the answers that callers got: whole, their own, or visibly broken.

use {crate::units::RequestId, thiserror::Error};

/// How an answer ended at its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// It ended as if complete.
    Complete,
    /// It ended in a visible error.
    Broken,
}

/// What one caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerEvent {
    /// The request.
    pub request: RequestId,
    /// The text that was requested.
    pub wanted: String,
    /// The text that came.
    pub got: String,
    /// How it ended.
    pub end: AnswerEnd,
}

/// Why a history is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AnswerFault {
    /// An answer that is not whole ended as if it were.
    #[error("the answer to {0} was cut short")]
    CutShort(RequestId),
    /// An answer holds text that does not belong to it.
    #[error("the answer to {0} holds foreign or doubled text")]
    Foreign(RequestId),
}

/// Judges each answer by itself.
///
/// # Errors
///
/// Returns the first fault.
pub fn check_answers(events: &[AnswerEvent]) -> Result<(), AnswerFault> {
    for event in events {
        if !event.wanted.starts_with(&event.got) {
            return Err(AnswerFault::Foreign(event.request));
        }
        if event.end == AnswerEnd::Complete && event.got != event.wanted {
            return Err(AnswerFault::CutShort(event.request));
        }
    }
    Ok(())
}
