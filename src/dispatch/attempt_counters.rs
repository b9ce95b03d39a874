//! Counters of finished attempts at runners, by outcome.

use {
    super::TryOutcome,
    crate::telemetry::{Counter, MetricText},
};

/// The metric labels of the outcomes, in the order of [`TryOutcome`].
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

/// Counters of finished attempts at runners since the node started.
#[derive(Debug, Default)]
pub struct DispatchCounts {
    tries: [Counter; OUTCOMES.len()],
}

impl DispatchCounts {
    /// Counts an attempt that ended.
    pub(super) fn tried(&self, outcome: TryOutcome) {
        self.tries[outcome as usize].count();
    }

    /// Appends the counters to a page of metrics.
    pub fn render(&self, text: &mut MetricText) {
        let name = "ggt_tries_total";
        text.begin(name, "counter", "Tries at runners, by how they ended.");
        for (outcome, counter) in OUTCOMES.iter().zip(&self.tries) {
            text.value(name, &[("outcome", *outcome)], counter.get() as f64);
        }
    }
}
