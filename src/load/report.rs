//! The report of an open loop.

use {
    super::{LoadSettings, MoveCounts, Percentiles, ReasonCounts, Second, Tally},
    serde::{Deserialize, Serialize},
};

/// The report of one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Its name.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests answered within the targets.
    pub attained: u64,
    /// Tokens received.
    pub tokens: u64,
    /// From the scheduled time to the first token.
    pub first_token: Percentiles,
    /// Between two tokens.
    pub between_tokens: Percentiles,
}

/// The report of an open loop.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The seed of the schedule.
    pub seed: u64,
    /// How long requests were sent, in seconds.
    pub duration_s: f64,
    /// The accelerators in use.
    pub accelerators: u32,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests answered within their targets.
    pub attained: u64,
    /// Requests answered within their targets, per accelerator.
    pub attainment_per_accelerator: f64,
    /// What the engines moved.
    pub moves: MoveCounts,
    /// Refusals without a run, by reason.
    pub refusals: ReasonCounts,
    /// Failures that may have run, by reason.
    pub failures: ReasonCounts,
    /// Answers that looked good but were wrong.
    pub wrong: ReasonCounts,
    /// By class.
    pub classes: Vec<ClassReport>,
    /// By second of the scheduled time.
    pub seconds: Vec<Second>,
}

impl LoadReport {
    /// Makes the report of a load.
    pub fn new(settings: &LoadSettings, tally: Tally, moves: MoveCounts) -> Self {
        let sum = |count: fn(&super::ClassTally) -> u64| tally.classes.iter().map(count).sum();
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
