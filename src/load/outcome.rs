//! How one request of a load ended.

use {super::InvalidResponse, std::time::Duration};

/// The times of a whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseTimes {
    /// From the scheduled time to the first token, or to a plain answer.
    pub first_token: Duration,
    /// From the scheduled time to the end.
    pub total: Duration,
    /// The gaps between two pieces with tokens, each with the tokens that followed it.
    pub gaps: Vec<(Duration, u32)>,
    /// The tokens.
    pub tokens: u32,
}

impl ResponseTimes {
    /// Returns the mean time between two tokens.
    pub fn mean_token_gap(&self) -> Duration {
        match self.tokens {
            0 | 1 => Duration::ZERO,
            tokens => self.total.saturating_sub(self.first_token) / (tokens - 1),
        }
    }
}

/// How one request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered, whole and with the right text.
    Answered(ResponseTimes),
    /// It was refused without running.
    Refused(String),
    /// It failed and may have run.
    Failed(String),
    /// Its answer looked good but was not the right one.
    Wrong(InvalidResponse),
}
