//! Scheduled disruptions, and the steps that carry them out.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// How a process is disrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DisruptionAction {
    /// The process is killed, and started again after `for_s` if given.
    Kill,
    /// The process is killed and started again at once.
    Restart,
    /// The process is suspended with SIGSTOP and resumed after `for_s`.
    Freeze,
    /// The process closes and refuses connections, for `for_s` if given.
    Cut,
    /// The process works more slowly, by `slow_percent` (runners) or `slow_ms` (other stand-ins),
    /// for `for_s` if given.
    Slow,
}

/// One scheduled disruption.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Disruption {
    /// When the disruption begins, in seconds after the start of the load.
    pub at_s: f64,
    /// The process name: a runner or backend server of the configuration, `entry-1`, `keeper-1` or
    /// `store`.
    pub target: String,
    /// How the process is disrupted.
    pub action: DisruptionAction,
    /// The duration of the disruption, in seconds.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// The slowdown of a runner, in percent.
    #[serde(default)]
    pub slow_percent: Option<u32>,
    /// The delay added to each call of another stand-in, in milliseconds.
    #[serde(default)]
    pub slow_ms: Option<u32>,
}

impl Disruption {
    /// Returns the invalid fields, each with its problem.
    pub fn find_faults(&self) -> Vec<(&'static str, &'static str)> {
        let is_time = |time: f64| (0.0..=1e6).contains(&time);
        let mut faults = Vec::new();
        if !is_time(self.at_s) {
            faults.push(("at_s", "must be at least 0 and at most 1000000"));
        }
        if self.for_s.is_some_and(|time| !is_time(time) || time == 0.0) {
            faults.push(("for_s", "must be above 0 and at most 1000000"));
        }
        if self.action == DisruptionAction::Freeze && self.for_s.is_none() {
            faults.push(("for_s", "must be given to freeze"));
        }
        if self.action == DisruptionAction::Restart && self.for_s.is_some() {
            faults.push(("for_s", "a restart has no duration; kill has"));
        }
        let slows = self.slow_percent.is_some() || self.slow_ms.is_some();
        if (self.action == DisruptionAction::Slow) != slows {
            faults.push((
                "slow_percent",
                "it or slow_ms must be given to slow, and only then",
            ));
        }
        faults
    }

    /// Returns the change at the beginning of the disruption and the one at its end, if any.
    fn changes(&self) -> (ProcessChange, Option<ProcessChange>) {
        match self.action {
            DisruptionAction::Kill => (ProcessChange::Kill, Some(ProcessChange::Start)),
            DisruptionAction::Restart => (ProcessChange::Restart, None),
            DisruptionAction::Freeze => (ProcessChange::Freeze, Some(ProcessChange::Thaw)),
            DisruptionAction::Cut => (ProcessChange::Cut, Some(ProcessChange::Mend)),
            DisruptionAction::Slow => {
                let percent = self.slow_percent.map(ProcessChange::SlowByPercent);
                let slow =
                    percent.unwrap_or(ProcessChange::SlowByMs(self.slow_ms.unwrap_or_default()));
                (slow, Some(ProcessChange::Mend))
            }
        }
    }
}

/// A change applied to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessChange {
    /// The process is killed.
    Kill,
    /// The process is started again after it was killed.
    Start,
    /// The process is killed and started again.
    Restart,
    /// The process is suspended.
    Freeze,
    /// The process is resumed.
    Thaw,
    /// The process closes and refuses connections.
    Cut,
    /// Work takes this percentage longer.
    SlowByPercent(u32),
    /// Each call takes this many milliseconds longer.
    SlowByMs(u32),
    /// All faults of the stand-in are switched off.
    Mend,
}

impl fmt::Display for ProcessChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kill => f.write_str("kill"),
            Self::Start => f.write_str("start"),
            Self::Restart => f.write_str("restart"),
            Self::Freeze => f.write_str("freeze"),
            Self::Thaw => f.write_str("thaw"),
            Self::Cut => f.write_str("cut"),
            Self::SlowByPercent(percent) => write!(f, "slow by {percent}%"),
            Self::SlowByMs(time_ms) => write!(f, "slow by {time_ms} ms"),
            Self::Mend => f.write_str("mend"),
        }
    }
}

/// A scheduled change of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The scheduled time after the start of the load.
    pub at: Duration,
    /// The name of the process.
    pub target: String,
    /// The change to apply.
    pub change: ProcessChange,
}

/// Returns the steps of a schedule, ordered by time.
pub fn build_steps(disruptions: &[Disruption]) -> Vec<Step> {
    let mut steps = Vec::new();
    for disruption in disruptions {
        let (begin, end) = disruption.changes();
        let mut add = |at_s: f64, change| {
            steps.push(Step {
                at: Duration::from_secs_f64(at_s),
                target: disruption.target.clone(),
                change,
            });
        };
        add(disruption.at_s, begin);
        if let (Some(for_s), Some(end)) = (disruption.for_s, end) {
            add(disruption.at_s + for_s, end);
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}
