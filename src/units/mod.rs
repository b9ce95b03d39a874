//! Newtypes for identifiers, sizes and counters, so that they cannot be confused.

mod id;
mod name;
mod size;
mod wall_clock;

pub use {id::*, name::*, size::*, wall_clock::*};

/// The text of a value could not be read as the expected unit.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a valid {wanted}: {reason}")]
pub struct UnitError {
    /// What was to be read, such as `model name`.
    pub wanted: &'static str,
    /// The text that was refused.
    pub text: String,
    /// Why it was refused.
    pub reason: &'static str,
}
