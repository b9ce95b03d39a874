//! The error of reading a unit from text.

use thiserror::Error;

/// The text of a value could not be read as the expected unit.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("{text:?} is not a valid {expected}: {reason}")]
pub struct UnitError {
    /// What was to be read, such as `model name`.
    pub expected: &'static str,
    /// The text that was refused.
    pub text: String,
    /// Why it was refused.
    pub reason: &'static str,
}
