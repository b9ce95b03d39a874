//! The figures of an experiment.

use {
    super::{CompletedStep, CopyInterval},
    crate::load::{LoadReport, MoveCounts},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The moves until a time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct MovesSample {
    /// The time, in seconds after the start of the load.
    pub at_s: f64,
    /// The moves since the start of the load.
    pub moves: MoveCounts,
}

/// What happened in one trial.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TrialReport {
    /// The setting.
    pub setting: String,
    /// The seed.
    pub seed: u64,
    /// The time from the publication until every name was answered, in seconds.
    pub settle_s: f64,
    /// Requests answered within their targets, per second.
    pub goodput_per_s: f64,
    /// The load.
    pub load: LoadReport,
    /// The disruptions.
    pub steps: Vec<CompletedStep>,
    /// The moves over time.
    pub moves: Vec<MovesSample>,
    /// Where the copies were over time.
    pub copies: Vec<CopyInterval>,
    /// What should not have happened.
    pub faults: Vec<String>,
}

/// What happened in an experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExperimentReport {
    /// The file.
    pub file: String,
    /// How long load was sent in each trial, in seconds.
    pub duration_s: f64,
    /// The accelerators.
    pub accelerators: u32,
    /// The trials.
    pub trials: Vec<TrialReport>,
}

impl ExperimentReport {
    /// Returns what should not have happened, over all trials.
    pub fn faults(&self) -> impl Iterator<Item = String> {
        self.trials.iter().flat_map(|trial| {
            let name = format!("{}, seed {}", trial.setting, trial.seed);
            trial
                .faults
                .iter()
                .map(move |fault| format!("{name}: {fault}"))
        })
    }
}

impl fmt::Display for TrialReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}, seed {}: sent {}, answered {}, within targets {} ({:.1}/s, {:.1} per \
             accelerator), refused {}, failed {}, moves {}, settled in {:.1} s",
            self.setting,
            self.seed,
            self.load.sent,
            self.load.answered,
            self.load.attained,
            self.goodput_per_s,
            self.load.attainment_per_accelerator,
            self.load.refusals.total(),
            self.load.failures.total(),
            self.load.moves.total(),
            self.settle_s,
        )
    }
}
