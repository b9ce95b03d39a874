//! The targets of a service class.

use std::time::Duration;

/// The targets of a service class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassTargets {
    /// Lower numbers go first.
    pub priority: u8,
    /// The target for the first token.
    pub first_token_target_ms: u64,
    /// The target for the time between two tokens.
    pub between_tokens_target_ms: u64,
}

impl ClassTargets {
    /// Returns the target for the first token.
    pub fn first_token_target(&self) -> Duration {
        Duration::from_millis(self.first_token_target_ms)
    }
}
