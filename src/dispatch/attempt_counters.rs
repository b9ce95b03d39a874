//! Counters of finished attempts at runners, by outcome.

use {
    super::AttemptOutcome,
    crate::telemetry::{Counter, MetricText},
};

/// The metric labels of the outcomes, in the order of [`AttemptOutcome`].
const OUTCOMES: [&str; 9] = [
    "complete",
    "failed",
    "shed",
    "absent",
    "wrong_runner",
    "unreachable",
    "withheld",
    "broken",
    "cancelled",
];

/// Counters of finished attempts at runners since the node started.
#[derive(Debug, Default)]
pub struct AttemptCounters {
    attempts: [Counter; OUTCOMES.len()],
}

impl AttemptCounters {
    /// Counts an attempt that ended.
    pub(super) fn record(&self, outcome: AttemptOutcome) {
        self.attempts[outcome as usize].count();
    }

    /// Appends the counters to a page of metrics.
    pub fn render(&self, text: &mut MetricText) {
        let name = "ggt_tries_total";
        text.begin(name, "counter", "Tries at runners, by how they ended.");
        for (outcome, counter) in OUTCOMES.iter().zip(&self.attempts) {
            text.value(name, &[("outcome", *outcome)], counter.get() as f64);
        }
    }
}
