//! Report of an open-loop run.

use {
    super::{ClassTally, LoadSettings, MoveCounts, Percentiles, ReasonCounts, SecondCounts, Tally},
    serde::{Deserialize, Serialize},
};

/// The results of one class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// The name of the class.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests with a valid response.
    pub answered: u64,
    /// Requests with a valid response within the latency targets.
    pub attained: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Latency from the scheduled time to the first token.
    pub first_token: Percentiles,
    /// Time between two tokens.
    pub between_tokens: Percentiles,
    /// Latency to the first token by second of the scheduled time.
    pub over_time: Vec<ClassSecond>,
}

/// Latency to the first token of a class's requests that were scheduled in one second.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ClassSecond {
    /// The second, counted from the start of the run.
    pub at_s: u64,
    /// Requests with a valid response.
    pub answered: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
}

/// The report of an open-loop run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The seed of the schedule.
    pub seed: u64,
    /// The time during which requests were sent, in seconds.
    pub duration_s: f64,
    /// The number of accelerators in use.
    pub accelerators: u32,
    /// Requests sent.
    pub sent: u64,
    /// Requests with a valid response.
    pub answered: u64,
    /// Requests with a valid response within their latency targets.
    pub attained: u64,
    /// Requests within their latency targets per accelerator.
    pub attainment_per_accelerator: f64,
    /// Moves that the engines carried out during the run.
    pub moves: MoveCounts,
    /// Requests that were refused and not run, by reason.
    pub refusals: ReasonCounts,
    /// Failed requests that may have run, by reason.
    pub failures: ReasonCounts,
    /// Invalid responses with a success status, by reason.
    pub wrong: ReasonCounts,
    /// Results by class of requests.
    pub classes: Vec<ClassReport>,
    /// Request counts by second of the scheduled time.
    pub seconds: Vec<SecondCounts>,
}

impl LoadReport {
    /// Builds the report from the tally of a run.
    pub fn new(settings: &LoadSettings, tally: Tally, moves: MoveCounts) -> Self {
        let sum = |count: fn(&ClassTally) -> u64| tally.classes.iter().map(count).sum();
        let attained: u64 = sum(|class| class.attained);
        let named = settings.classes.iter().zip(&tally.classes);
        let classes = named.map(|(spec, class)| ClassReport {
            name: spec.name.clone(),
            sent: class.sent,
            answered: class.answered,
            attained: class.attained,
            tokens: class.tokens,
            first_token: class.first_token.percentiles(),
            between_tokens: class.between_tokens.percentiles(),
            over_time: over_time(class),
        });
        Self {
            seed: settings.seed,
            duration_s: settings.duration_s,
            accelerators: settings.accelerators,
            sent: sum(|class| class.sent),
            answered: sum(|class| class.answered),
            attained,
            attainment_per_accelerator: attained as f64 / f64::from(settings.accelerators.max(1)),
            moves,
            classes: classes.collect(),
            refusals: tally.refusals,
            failures: tally.failures,
            wrong: tally.wrong,
            seconds: tally.seconds,
        }
    }
}

/// Returns the latencies by second, without the seconds that have no valid response.
fn over_time(class: &ClassTally) -> Vec<ClassSecond> {
    let seconds = class.first_token_us.iter().zip(0..);
    let answered = seconds.filter(|(times_us, _)| !times_us.is_empty());
    let second = |(times_us, at_s): (&Vec<u32>, u64)| {
        let mut sorted = times_us.clone();
        sorted.sort_unstable();
        let at = |percent: usize| {
            let rank = (sorted.len() * percent).div_ceil(100).max(1);
            f64::from(sorted[rank - 1]) / 1000.0
        };
        ClassSecond {
            at_s,
            answered: sorted.len() as u64,
            p50_ms: at(50),
            p95_ms: at(95),
        }
    };
    answered.map(second).collect()
}
