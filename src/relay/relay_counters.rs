//! Counters of callers' requests by outcome.

use {
    super::Refusal,
    crate::{
        telemetry::{Counter, DurationHistogram, MetricText},
        traffic::RouteKind,
    },
    std::time::Duration,
};

/// The labels of the kinds of route, in the order of [`kind_index`].
const KIND_LABELS: [&str; 3] = ["idempotent", "non_idempotent", "streaming"];
/// The labels of the outcomes, in the order of [`ResponseOutcome`].
const OUTCOME_LABELS: [&str; 3] = ["answered", "runner_failed", "refused"];

/// The outcome of a request when its response begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseOutcome {
    /// A runner's success is forwarded.
    Answered,
    /// A runner's failure is forwarded.
    RunnerFailed,
    /// The system refuses the request.
    Refused,
}

/// The counters of callers' requests since the start of the process.
#[derive(Debug, Default)]
pub struct RelayCounters {
    responses: [[Counter; OUTCOME_LABELS.len()]; KIND_LABELS.len()],
    response_times: [DurationHistogram; KIND_LABELS.len()],
    refusals: [Counter; Refusal::REASONS.len()],
    pub(super) retries: Counter,
    pub(super) retries_denied: Counter,
    pub(super) streams_resumed: Counter,
    pub(super) streams_lost: Counter,
    pub(super) cancelled: Counter,
    pub(super) passed_on: Counter,
}

impl RelayCounters {
    /// Counts the begin of a response, `after` the request's arrival.
    pub(super) fn record_response(
        &self,
        kind: RouteKind,
        outcome: ResponseOutcome,
        after: Duration,
    ) {
        let kind = kind_index(kind);
        self.responses[kind][outcome as usize].count();
        if outcome == ResponseOutcome::Answered {
            self.response_times[kind].record(after);
        }
    }

    pub(super) fn record_refusal(&self, refusal: &Refusal) {
        self.refusals[refusal.reason() as usize].count();
    }

    /// Returns the number of refusals by reason, without reasons that never occurred.
    pub fn refusals(&self) -> Vec<(&'static str, u64)> {
        let counted = Refusal::REASONS.iter().zip(&self.refusals);
        let counted = counted.map(|(reason, counter)| (*reason, counter.get()));
        counted.filter(|(_, count)| *count > 0).collect()
    }

    /// Writes the counters as metrics.
    pub fn render(&self, text: &mut MetricText) {
        let name = "ggt_answers_total";
        text.begin(
            name,
            "counter",
            "Answers begun, by kind of route and outcome.",
        );
        for (kind, counters) in KIND_LABELS.iter().zip(&self.responses) {
            for (outcome, counter) in OUTCOME_LABELS.iter().zip(counters) {
                let labels = [("kind", *kind), ("outcome", *outcome)];
                text.value(name, &labels, counter.get() as f64);
            }
        }
        let name = "ggt_answer_wait_seconds";
        text.begin(
            name,
            "histogram",
            "From a request's arrival to the first part of its answer.",
        );
        for (kind, times) in KIND_LABELS.iter().zip(&self.response_times) {
            text.histogram(name, &[("kind", *kind)], times);
        }
        let name = "ggt_refusals_total";
        text.begin(
            name,
            "counter",
            "Requests that the system answered itself, by reason.",
        );
        for (reason, counter) in Refusal::REASONS.iter().zip(&self.refusals) {
            text.value(name, &[("reason", *reason)], counter.get() as f64);
        }
        for (name, help, counter) in [
            (
                "ggt_retries_total",
                "Further tries from the retry budget.",
                &self.retries,
            ),
            (
                "ggt_retries_denied_total",
                "Further tries that the retry budget denied.",
                &self.retries_denied,
            ),
            (
                "ggt_streams_resumed_total",
                "Streams that went on at another runner.",
                &self.streams_resumed,
            ),
            (
                "ggt_streams_lost_total",
                "Streams that broke off for good after they began.",
                &self.streams_lost,
            ),
            (
                "ggt_requests_passed_on_total",
                "Requests that another node served, as this one reached no runner.",
                &self.passed_on,
            ),
            (
                "ggt_requests_cancelled_total",
                "Requests whose caller left before the answer began.",
                &self.cancelled,
            ),
        ] {
            text.single(name, "counter", help, counter.get() as f64);
        }
    }
}

/// Counts a request as cancelled if dropped before the response begins.
#[derive(Debug)]
pub(super) struct CancellationGuard<'a>(Option<&'a RelayCounters>);

impl<'a> CancellationGuard<'a> {
    pub(super) fn new(counts: &'a RelayCounters) -> Self {
        Self(Some(counts))
    }

    pub(super) fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for CancellationGuard<'_> {
    fn drop(&mut self) {
        if let Some(counts) = self.0 {
            counts.cancelled.count();
        }
    }
}

fn kind_index(kind: RouteKind) -> usize {
    match kind {
        RouteKind::Idempotent => 0,
        RouteKind::NonIdempotent => 1,
        RouteKind::Streaming { .. } => 2,
    }
}
