//! How tries at runners ended, in numbers.

use {
    super::TryOutcome,
    crate::telemetry::{Counter, MetricText},
};

/// The names of the outcomes, in the order of [`TryOutcome`].
const OUTCOMES: [&str; 8] = [
    "complete",
    "failed",
    "shed",
    "absent",
    "wrong_runner",
    "unreachable",
    "broken",
    "cancelled",
];

/// How tries at runners ended since the start.
#[derive(Debug, Default)]
pub struct DispatchCounts {
    tries: [Counter; OUTCOMES.len()],
}

impl DispatchCounts {
    pub(super) fn tried(&self, outcome: TryOutcome) {
        self.tries[outcome as usize].count();
    }

    /// Adds the counts to a text of metrics.
    pub fn render(&self, text: &mut MetricText) {
        let name = "ggt_tries_total";
        text.begin(name, "counter", "Tries at runners, by how they ended.");
        for (outcome, counter) in OUTCOMES.iter().zip(&self.tries) {
            text.value(name, &[("outcome", *outcome)], counter.get() as f64);
        }
    }
}
