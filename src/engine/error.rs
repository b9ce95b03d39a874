//! Errors of the order interface.

use {crate::units::Epoch, thiserror::Error};

/// The reason why an order or a status query failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EngineError {
    /// The order was not sent.
    #[error("the engine cannot be reached: {0}")]
    Unreachable(String),
    /// The engine did not reply; the order may still take effect.
    #[error("the engine did not reply: {0}")]
    Unknown(String),
    /// The order carried an outdated fencing number and will never take effect.
    #[error("the engine rejected an outdated fencing number; it has seen {0}")]
    Fenced(Epoch),
    /// The engine refused the order for another reason; it will never take effect.
    #[error("the engine refused the request: {0}")]
    Refused(String),
}
