//! The outcome of one request of a load run.

use {super::InvalidResponse, std::time::Duration};

/// The times of a complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseTimes {
    /// The time from the scheduled time to the first token, or to the end of a response that is not
    /// streamed.
    pub first_token: Duration,
    /// The time from the scheduled time to the last token, or to the end of a response that is not
    /// streamed.
    pub total: Duration,
    /// The gaps between chunks with tokens, each with the number of tokens in the later chunk.
    pub gaps: Vec<(Duration, u32)>,
    /// The number of tokens in the response.
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

/// The outcome of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response was complete and had the expected text.
    Answered(ResponseTimes),
    /// The request was refused and not run, for this reason.
    Refused(String),
    /// The request failed, for this reason, and may have run.
    Failed(String),
    /// The response had a success status but was invalid.
    Wrong(InvalidResponse),
}
