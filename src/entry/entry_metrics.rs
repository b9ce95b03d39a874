//! Metric handles for the histograms that are updated for every request or token.

use {
    crate::telemetry::{BETWEEN_TOKENS_S, FIRST_TOKEN_S, QUEUE_S},
    metrics::Histogram,
    std::fmt,
};

/// Handles of histograms that are updated for every request or token; they are registered once.
pub struct EntryMetrics {
    /// Seconds from a request's arrival to its first token.
    pub first_token: Histogram,
    /// Seconds that a request waited for admission.
    pub queue: Histogram,
    /// Seconds between two tokens.
    pub between_tokens: Histogram,
}

impl EntryMetrics {
    /// Registers the metrics with the recorder of this process.
    pub fn new() -> Self {
        Self {
            first_token: metrics::histogram!(FIRST_TOKEN_S),
            queue: metrics::histogram!(QUEUE_S),
            between_tokens: metrics::histogram!(BETWEEN_TOKENS_S),
        }
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for EntryMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("EntryMetrics")
    }
}
