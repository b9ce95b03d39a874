//! Applies the reports of a runner to its tracked state.

use {
    super::{
        CopyState,
        report_copies::copies_from_report,
        runner_record::{
            ADAPTER_LOAD_TIME, ADAPTER_REPORT_INTERVAL, PROGRESS_REPORT_INTERVAL, RunnerRecord,
            WRONG_RUNNER_PAUSE,
        },
    },
    crate::{
        node::{Order, RunnerCallError, RunnerReport},
        traffic::ModelId,
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// The maximum age of a report: how long ago the state it describes may have been read.
const REPORT_AGE_MAX: Duration = Duration::from_millis(400);
/// The delay before a report is requested again after a call that failed.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The number of reports in a row that may be older than the known state; a further one is taken
/// as current.
const STALE_REPORTS_MAX: u32 = 6;

impl RunnerRecord {
    /// Handles a report or its absence; reports of another incarnation and outdated ones are
    /// ignored.
    pub fn handle_report(&mut self, report: &Result<RunnerReport, RunnerCallError>, now: Instant) {
        self.call_in_progress = false;
        let Ok(report) = report else {
            self.report_at = Some(now + REPORT_RETRY_DELAY);
            return;
        };
        let born_unix_ms = self.state.key.born_unix_ms;
        if report.born_unix_ms != born_unix_ms && report.born_unix_ms != 0 && born_unix_ms != 0 {
            // The runner list will contain the new incarnation.
            self.paused_until = now + WRONG_RUNNER_PAUSE;
            self.report_at = Some(now + WRONG_RUNNER_PAUSE);
            return;
        }
        let is_stale = self
            .accepted_orders
            .is_some_and(|count| report.orders_accepted < count);
        if is_stale && self.stale_reports < STALE_REPORTS_MAX {
            self.stale_reports += 1;
            self.report_at = Some(now + PROGRESS_REPORT_INTERVAL);
            return;
        }
        self.stale_reports = 0;
        self.apply_report(report, now);
    }

    /// Replaces the tracked state with that of a report.
    fn apply_report(&mut self, report: &RunnerReport, now: Instant) {
        let is_same = self.accepted_orders == Some(report.orders_accepted);
        match self.unresolved_order.take() {
            // The order was not accepted. The next order to the runner makes it reject a late
            // arrival of this one, by the number of accepted orders.
            Some(order) if is_same => self.revert(&order),
            Some(Order::LoadModel(model)) if report.order_in_progress => {
                self.loading = Some((model, now))
            }
            Some(Order::UnloadModel(model)) if report.order_in_progress => {
                self.unloading = Some((model, now))
            }
            _ => {}
        }
        self.accepted_orders = Some(report.orders_accepted);
        self.report_applied_at = Some(now);
        let is_recent = is_same
            && self
                .accepted_at
                .is_some_and(|at| now.duration_since(at) < REPORT_AGE_MAX);
        let in_progress = report.order_in_progress || is_recent;
        let mut unloading = self.unloading.take().map(|(model, _)| model);
        if let Some(copy) = self
            .state
            .pending_release
            .take_if(|_| report.order_in_progress)
        {
            unloading = Some(copy.model);
        }
        if !in_progress {
            self.state.pending_release = None;
        }
        let loading = self.loading.take();
        let loading_model = loading
            .as_ref()
            .map(|(model, _)| model)
            .filter(|_| in_progress);
        let unloading = unloading.filter(|_| in_progress);
        let previous = std::mem::take(&mut self.state.models);
        self.state.models =
            copies_from_report(report, previous, loading_model, unloading.as_ref(), now);
        let is_listed = |model: &ModelId| {
            report
                .models
                .iter()
                .any(|resident| resident.model == *model)
        };
        self.loading = loading.filter(|(model, _)| in_progress && !is_listed(model));
        self.unloading = unloading.filter(is_listed).map(|model| (model, now));
        let is_known = self.loading.is_some() || self.unloading.is_some();
        self.has_unknown_order = report.order_in_progress && !is_known;
        if !report.loading_adapters.is_empty() {
            self.adapters_loaded_at = Some(now + ADAPTER_LOAD_TIME);
        }
        let mut adapters = self.state.models.iter().flat_map(|copy| &copy.adapters);
        let is_unloading = adapters.any(|adapter| adapter.state == CopyState::Unloading);
        self.adapter_report_at = is_unloading.then(|| now + ADAPTER_REPORT_INTERVAL);
        if self.has_unknown_order || self.loading.is_some() {
            self.report_at = Some(now + PROGRESS_REPORT_INTERVAL);
        }
    }
}
