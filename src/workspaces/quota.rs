//! The quota of a workspace, over all nodes.

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// Each request counts as the sum of its prompt tokens and the most tokens of its output.
    Tokens {
        /// What a request counts that states no tokens.
        plain_request_tokens: u64,
    },
}

impl QuotaUnit {
    /// Returns what a request counts, by the tokens that it states.
    pub fn amount(self, stated_tokens: Option<u64>) -> u64 {
        match self {
            Self::Requests => 1,
            Self::Tokens {
                plain_request_tokens,
            } => stated_tokens.unwrap_or(plain_request_tokens),
        }
    }
}

/// The amount that a workspace may use, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// The amount per second.
    pub rate_per_s: f64,
    /// The amount that may be used at once beyond the rate.
    pub burst: f64,
}
