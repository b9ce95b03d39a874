//! Errors of the order interface.

use {crate::units::Epoch, thiserror::Error};

/// Why an order has no good answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EngineError {
    /// The order never left.
    #[error("the engine cannot be reached: {0}")]
    Unreachable(String),
    /// The order may take effect, now or later.
    #[error("the engine gave no answer: {0}")]
    Unknown(String),
    /// The order carried an old fencing number and will never take effect.
    #[error("the engine refused an old fencing number, it knows {0}")]
    Fenced(Epoch),
    /// The engine refused the order for another reason; it will never take effect.
    #[error("the engine refused: {0}")]
    Refused(String),
}
