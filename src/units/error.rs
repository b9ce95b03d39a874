//! The error of parsing an identifier or size.

use thiserror::Error;

/// A text could not be parsed as the expected type.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("{text:?} is not a valid {expected}: {reason}")]
pub struct UnitError {
    /// The expected type, such as `model name`.
    pub expected: &'static str,
    /// The invalid text, cut to 80 characters.
    pub text: String,
    /// The reason why the text is invalid.
    pub reason: &'static str,
}
