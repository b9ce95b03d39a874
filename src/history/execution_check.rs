//! Checks that each request was executed at most once, and not at all if reported as `not-run`.

use thiserror::Error;

/// The outcome of one attempt as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// The attempt got a response.
    Answered,
    /// The attempt was not executed.
    NotRun,
    /// The attempt may have been executed.
    Unknown,
}

/// An event of a request that must be executed at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecutionEvent {
    /// A backend server executed an attempt.
    Executed {
        /// The idempotency key; the id of the attempt if it has none.
        key: String,
        /// The id of the attempt.
        attempt: String,
    },
    /// The outcome of an attempt was reported to the caller.
    Reported {
        /// The idempotency key; the id of the attempt if it has none.
        key: String,
        /// The id of the attempt.
        attempt: String,
        /// The reported outcome.
        outcome: ReportedOutcome,
    },
}

/// Why a history of executions is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ExecutionViolation {
    /// Requests with the same key were executed more than once.
    #[error("key {0} was executed more than once")]
    ExecutedTwice(String),
    /// An attempt was executed although it was reported as not run.
    #[error("attempt {0} was executed but reported as not run")]
    ExecutedAfterNotRun(String),
    /// An attempt got a response without being executed.
    #[error("attempt {0} got a response but was never executed")]
    AnsweredWithoutExecution(String),
}

/// Checks a history whose events may be in any order.
///
/// # Errors
///
/// Returns the first violation.
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
