//! Counts and latencies of the outcomes of a load run.

use {
    super::{Arrival, ClassSpec, LatencyHistogram, RequestOutcome},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The number of requests with one reason of refusal or failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReasonCount {
    /// The reason, as printed in the report.
    pub reason: String,
    /// The number of requests.
    pub count: u64,
}

/// Counts by reason, sorted by reason.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReasonCounts(pub Vec<ReasonCount>);

impl ReasonCounts {
    /// Adds one to the count of a reason.
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

/// Counts and latencies of the requests of one class.
#[derive(Debug, Clone, Default)]
pub struct ClassTally {
    /// Requests sent.
    pub sent: u64,
    /// Requests with a valid response.
    pub answered: u64,
    /// Requests with a valid response within the latency targets.
    pub attained: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Latencies to the first token.
    pub first_token: LatencyHistogram,
    /// Times between two tokens.
    pub between_tokens: LatencyHistogram,
    /// Latencies to the first token by second of the scheduled time, in microseconds.
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

/// Counts of the requests that were scheduled in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondCounts {
    /// Requests sent.
    pub sent: u64,
    /// Requests with a valid response within the latency targets.
    pub attained: u64,
    /// Requests refused and not run.
    pub refused: u64,
    /// Requests that failed or got an invalid response.
    pub failed: u64,
}

/// Counts and latencies of all requests of a load run.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Results by class of requests.
    pub classes: Vec<ClassTally>,
    /// Request counts by second of the scheduled time.
    pub seconds: Vec<SecondCounts>,
    /// Requests that were refused and not run, by reason.
    pub refusals: ReasonCounts,
    /// Failed requests that may have run, by reason.
    pub failures: ReasonCounts,
    /// Invalid responses with a success status, by reason.
    pub wrong: ReasonCounts,
}

impl Tally {
    /// Creates an empty tally for a number of classes.
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
