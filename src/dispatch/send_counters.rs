//! Counters of requests on their way to runners.

use {
    super::SendDenial,
    crate::telemetry::{Counter, DurationHistogram, MetricText},
    std::time::Duration,
};

/// Counters of assigned requests up to their first byte.
#[derive(Debug, Default)]
pub struct SendCounters {
    delay: DurationHistogram,
    withheld: [Counter; SendDenial::LABELS.len()],
}

impl SendCounters {
    /// Counts a request whose first byte is sent some time after its assignment.
    pub(super) fn record_sent(&self, delay: Duration) {
        self.delay.record(delay);
    }

    /// Counts an assigned request that is not sent.
    pub(super) fn record_withheld(&self, denial: SendDenial) {
        self.withheld[denial.index()].count();
    }

    /// Returns the number of assigned requests that were not sent, for a reason by its label.
    pub fn withheld(&self, label: &str) -> u64 {
        let position = SendDenial::LABELS.iter().position(|known| *known == label);
        position.map_or(0, |position| self.withheld[position].get())
    }

    /// Appends the counters to a page of metrics.
    pub fn render(&self, text: &mut MetricText) {
        let name = "ggt_send_delay_seconds";
        let help = "Time from the assignment of a runner to the first byte sent to it.";
        text.begin(name, "histogram", help);
        text.histogram(name, &[], &self.delay);
        let name = "ggt_sends_withheld_total";
        let help = "Assigned requests that were not sent, by reason.";
        text.begin(name, "counter", help);
        for (reason, counter) in SendDenial::LABELS.iter().zip(&self.withheld) {
            text.value(name, &[("reason", *reason)], counter.get() as f64);
        }
    }
}
