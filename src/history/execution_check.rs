//! Judges the runs of requests: at most once each, and never after `not-run`.

use thiserror::Error;

/// The outcome of one try as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// It was answered.
    Answered,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// An event in the life of a request that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEvent {
    /// A backend server ran the request for a try.
    Ran {
        /// What must run at most once: an idempotency key, or the try itself.
        key: String,
        /// The try.
        attempt: String,
    },
    /// The outcome of a try was reported to the caller.
    Told {
        /// What must run at most once.
        key: String,
        /// The try.
        attempt: String,
        /// The reported outcome.
        told: Told,
    },
}

/// Why a history is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RunFault {
    /// A key ran more than once.
    #[error("{0} ran more than once")]
    RanTwice(String),
    /// A try ran although it was reported as not run.
    #[error("the try {0} ran, but its caller was told that it did not")]
    NotRunIsFalse(String),
    /// A try was answered that never ran.
    #[error("the try {0} was answered, but it never ran")]
    AnsweredUnrun(String),
}

/// Judges a history, in whatever order its events were recorded.
///
/// # Errors
///
/// Returns the first fault.
pub fn check_runs(events: &[RunEvent]) -> Result<(), RunFault> {
    let mut keys = Vec::new();
    let mut attempts = Vec::new();
    for event in events {
        if let RunEvent::Ran { key, attempt } = event {
            keys.push(key.as_str());
            attempts.push(attempt.as_str());
        }
    }
    keys.sort_unstable();
    attempts.sort_unstable();
    if let Some(pair) = keys.windows(2).find(|pair| pair[0] == pair[1]) {
        return Err(RunFault::RanTwice(pair[0].to_owned()));
    }
    events
        .iter()
        .try_for_each(|event| check_told(event, &attempts))
}

fn check_told(event: &RunEvent, attempts: &[&str]) -> Result<(), RunFault> {
    let RunEvent::Told { attempt, told, .. } = event else {
        return Ok(());
    };
    let ran = attempts.binary_search(&attempt.as_str()).is_ok();
    match (told, ran) {
        (Told::NotRun, true) => Err(RunFault::NotRunIsFalse(attempt.clone())),
        (Told::Answered, false) => Err(RunFault::AnsweredUnrun(attempt.clone())),
        _ => Ok(()),
    }
}
