//! Judges the runs of requests: at most once each, and never after `not-run`.

use thiserror::Error;

/// The outcome of one try as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// It was answered.
    Answered,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// An event in the life of a request that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecutionEvent {
    /// A backend server ran the request for a try.
    Executed {
        /// What must run at most once: an idempotency key, or the try itself.
        key: String,
        /// The try.
        attempt: String,
    },
    /// The outcome of a try was reported to the caller.
    Reported {
        /// What must run at most once.
        key: String,
        /// The try.
        attempt: String,
        /// The reported outcome.
        outcome: ReportedOutcome,
    },
}

/// Why a history is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ExecutionViolation {
    /// A key ran more than once.
    #[error("{0} ran more than once")]
    ExecutedTwice(String),
    /// A try ran although it was reported as not run.
    #[error("the try {0} ran, but its caller was told that it did not")]
    ExecutedAfterNotRun(String),
    /// A try was answered that never ran.
    #[error("the try {0} was answered, but it never ran")]
    AnsweredWithoutExecution(String),
}

/// Judges a history, in whatever order its events were recorded.
///
/// # Errors
///
/// Returns the first fault.
pub fn check_executions(events: &[ExecutionEvent]) -> Result<(), ExecutionViolation> {
    let mut executed_keys = Vec::new();
    let mut executed_attempts = Vec::new();
    for event in events {
        if let ExecutionEvent::Executed { key, attempt } = event {
            executed_keys.push(key.as_str());
            executed_attempts.push(attempt.as_str());
        }
    }
    executed_keys.sort_unstable();
    executed_attempts.sort_unstable();
    if let Some(pair) = executed_keys.windows(2).find(|pair| pair[0] == pair[1]) {
        return Err(ExecutionViolation::ExecutedTwice(pair[0].to_owned()));
    }
    events
        .iter()
        .try_for_each(|event| check_outcome(event, &executed_attempts))
}

fn check_outcome(
    event: &ExecutionEvent,
    executed_attempts: &[&str],
) -> Result<(), ExecutionViolation> {
    let ExecutionEvent::Reported {
        attempt, outcome, ..
    } = event
    else {
        return Ok(());
    };
    let is_executed = executed_attempts.binary_search(&attempt.as_str()).is_ok();
    match (outcome, is_executed) {
        (ReportedOutcome::NotRun, true) => {
            Err(ExecutionViolation::ExecutedAfterNotRun(attempt.clone()))
        }
        (ReportedOutcome::Answered, false) => Err(ExecutionViolation::AnsweredWithoutExecution(
            attempt.clone(),
        )),
        _ => Ok(()),
    }
}
