//! Results of an experiment.

use {
    super::{CompletedStep, CopyInterval},
    crate::load::{LoadReport, MoveCounts},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The move counts at a time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct MovesSample {
    /// The time of the sample, in seconds after the start of the load.
    pub at_s: f64,
    /// The moves since the start of the load.
    pub moves: MoveCounts,
}

/// The results of one trial.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TrialReport {
    /// The name of the setting.
    pub setting: String,
    /// The seed of the load.
    pub seed: u64,
    /// The time from the publication until every model and adapter was served, in seconds.
    pub settle_s: f64,
    /// Requests with a valid response within their latency targets, per second.
    pub goodput_per_s: f64,
    /// The results of the load.
    pub load: LoadReport,
    /// The steps that were applied.
    pub steps: Vec<CompletedStep>,
    /// The move counts over time.
    pub moves: Vec<MovesSample>,
    /// The model copies on each runner over time.
    pub copies: Vec<CopyInterval>,
    /// Faults of the trial, such as an invalid response or a process that exited.
    pub faults: Vec<String>,
}

/// The results of an experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExperimentReport {
    /// The path of the experiment file.
    pub file: String,
    /// The duration of the load in each trial, in seconds.
    pub duration_s: f64,
    /// The number of accelerators of all runners.
    pub accelerators: u32,
    /// The results of the trials, in the order of their runs.
    pub trials: Vec<TrialReport>,
}

impl ExperimentReport {
    /// Returns the faults of all trials, each with the setting and seed of its trial.
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
