//! Gathers the outcomes of a load.

use {
    super::{Arrival, ClassSpec, LatencyHistogram, RequestOutcome},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// How often something happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReasonCount {
    /// What happened.
    pub reason: String,
    /// How often.
    pub count: u64,
}

/// Counts by reason, sorted by reason.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReasonCounts(pub Vec<ReasonCount>);

impl ReasonCounts {
    /// Counts a reason once more.
    pub fn add(&mut self, reason: &str) {
        match self
            .0
            .binary_search_by(|count| count.reason.as_str().cmp(reason))
        {
            Ok(at) => self.0[at].count += 1,
            Err(at) => self.0.insert(
                at,
                ReasonCount {
                    reason: reason.to_owned(),
                    count: 1,
                },
            ),
        }
    }

    /// Returns the sum over all reasons.
    pub fn total(&self) -> u64 {
        self.0.iter().map(|count| count.count).sum()
    }
}

/// What happened to the requests of one class.
#[derive(Debug, Clone, Default)]
pub struct ClassTally {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests answered within the targets.
    pub attained: u64,
    /// Tokens received.
    pub tokens: u64,
    /// The times to the first token.
    pub first_token: LatencyHistogram,
    /// The times between two tokens.
    pub between_tokens: LatencyHistogram,
    /// The times to the first token by second of the scheduled time, in microseconds.
    pub first_token_us: Vec<Vec<u32>>,
}

impl ClassTally {
    fn add_first_token(&mut self, second: usize, time: Duration) {
        if self.first_token_us.len() <= second {
            self.first_token_us.resize(second + 1, Vec::new());
        }
        let time_us = u32::try_from(time.as_micros()).unwrap_or(u32::MAX);
        self.first_token_us[second].push(time_us);
    }
}

/// What happened to the requests due in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondCounts {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered within the targets.
    pub attained: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that failed or were answered wrongly.
    pub failed: u64,
}

/// What happened to all requests of a load.
#[derive(Debug, Clone)]
pub struct Tally {
    /// By class.
    pub classes: Vec<ClassTally>,
    /// By second of the scheduled time.
    pub seconds: Vec<SecondCounts>,
    /// Refusals without a run, by reason.
    pub refusals: ReasonCounts,
    /// Failures that may have run, by reason.
    pub failures: ReasonCounts,
    /// Wrong answers, by what was wrong.
    pub wrong: ReasonCounts,
}

impl Tally {
    /// Makes an empty tally for a number of classes.
    pub fn new(classes: usize) -> Self {
        Self {
            classes: vec![ClassTally::default(); classes],
            seconds: Vec::new(),
            refusals: ReasonCounts::default(),
            failures: ReasonCounts::default(),
            wrong: ReasonCounts::default(),
        }
    }

    /// Adds the outcome of a request.
    pub fn add(&mut self, arrival: &Arrival, spec: &ClassSpec, outcome: &RequestOutcome) {
        let at = arrival.at.as_secs() as usize;
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, SecondCounts::default());
        }
        let second = &mut self.seconds[at];
        let class = &mut self.classes[arrival.class];
        second.sent += 1;
        class.sent += 1;
        match outcome {
            RequestOutcome::Answered(times) => {
                class.answered += 1;
                class.tokens += u64::from(times.tokens);
                class.first_token.add(times.first_token);
                class.add_first_token(at, times.first_token);
                for (gap, tokens) in &times.gaps {
                    let share = *gap / (*tokens).max(1);
                    class.between_tokens.add_many(share, *tokens);
                }
                let in_time = times.first_token
                    <= Duration::from_millis(spec.first_token_target_ms)
                    && times.mean_token_gap()
                        <= Duration::from_millis(spec.between_tokens_target_ms);
                class.attained += u64::from(in_time);
                second.attained += u64::from(in_time);
            }
            RequestOutcome::Refused(reason) => {
                second.refused += 1;
                self.refusals.add(reason);
            }
            RequestOutcome::Failed(reason) => {
                second.failed += 1;
                self.failures.add(reason);
            }
            RequestOutcome::Wrong(wrong) => {
                second.failed += 1;
                self.wrong.add(&wrong.to_string());
            }
        }
    }
}
