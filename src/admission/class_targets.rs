//! The priority and latency targets of a service class.

use std::time::Duration;

/// The priority and latency targets of a service class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassTargets {
    /// The priority; lower numbers are served first.
    pub priority: u8,
    /// The target for the time to the first token.
    pub first_token_target_ms: u64,
    /// The target for the time between two tokens.
    pub between_tokens_target_ms: u64,
}

impl ClassTargets {
    /// Returns the target for the time to the first token.
    pub fn first_token_target(&self) -> Duration {
        Duration::from_millis(self.first_token_target_ms)
    }
}
