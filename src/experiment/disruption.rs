//! Disruptions of the schedule and the steps that they come down to.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// What is done to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DisruptionAction {
    /// It is killed; after `for_s`, if given, it is started again.
    Kill,
    /// It is killed and started again at once.
    Restart,
    /// It is stopped by a signal and goes on after `for_s`.
    Freeze,
    /// Its connections are closed and refused, for `for_s` if given.
    Cut,
    /// Its work takes longer, by `slow_percent` (a runner) or `slow_ms` (other stand-ins), for
    /// `for_s` if given.
    Slow,
}

/// One line of the schedule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Disruption {
    /// When it happens, in seconds after the start of the load.
    pub at_s: f64,
    /// The process: a runner or backend of the configuration, `entry-1`, `keeper-1`, `store`.
    pub target: String,
    /// What is done.
    pub action: DisruptionAction,
    /// How long it lasts, in seconds.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// How much longer work takes, in percent.
    #[serde(default)]
    pub slow_percent: Option<u32>,
    /// How much longer each call takes, in milliseconds.
    #[serde(default)]
    pub slow_ms: Option<u32>,
}

impl Disruption {
    /// Returns what is wrong with its numbers, as field and problem.
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

    /// Returns what it does at its beginning, and at its end if it has one.
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

/// One change of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessChange {
    /// It is killed.
    Kill,
    /// It is started after it was killed.
    Start,
    /// It is killed and started.
    Restart,
    /// It is stopped by a signal.
    Freeze,
    /// It goes on after it was stopped.
    Thaw,
    /// Its connections are closed and refused.
    Cut,
    /// Its work takes so many percent longer.
    SlowByPercent(u32),
    /// Its calls take so many milliseconds longer.
    SlowByMs(u32),
    /// Its fault switches are off again.
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

/// A change of a process at its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// When, after the start of the load.
    pub at: Duration,
    /// The process.
    pub target: String,
    /// What is done.
    pub change: ProcessChange,
}

/// Returns the steps of a schedule in the order of time.
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
