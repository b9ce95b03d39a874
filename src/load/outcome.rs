//! How one request of a load ended.

use {super::WrongAnswer, std::time::Duration};

/// The times of a whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerTimes {
    /// From the scheduled time to the first token, or to a plain answer.
    pub first: Duration,
    /// From the scheduled time to the end.
    pub whole: Duration,
    /// The gaps between two pieces with tokens, each with the tokens that followed it.
    pub gaps: Vec<(Duration, u32)>,
    /// The tokens.
    pub tokens: u32,
}

impl AnswerTimes {
    /// Returns the mean time between two tokens.
    pub fn mean_between(&self) -> Duration {
        match self.tokens {
            0 | 1 => Duration::ZERO,
            tokens => self.whole.saturating_sub(self.first) / (tokens - 1),
        }
    }
}

/// How one request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered, whole and with the right text.
    Answered(AnswerTimes),
    /// It was refused without running.
    Refused(String),
    /// It failed and may have run.
    Failed(String),
    /// Its answer looked good but was not the right one.
    Wrong(WrongAnswer),
}
