//! Tracks one runner: the models and adapters it holds, and the order in progress.

use {
    super::{
        CopyState, PlannedOrder, PlannedRunner, report_copies::copies_from_report,
        residents::loaded_copy,
    },
    crate::{
        discovery::{RunnerEntry, RunnerState as Readiness},
        dispatch::RunnerView,
        node::{Order, OrderUnknown, RunnerReport},
        traffic::{ModelId, ServiceId},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// The maximum age of a report: how long ago the state it describes may have been read.
pub(super) const REPORT_AGE_MAX: Duration = Duration::from_millis(400);
/// The delay before a report is requested after an unload, or an order that was not accepted.
pub(super) const REPORT_DELAY: Duration = Duration::from_millis(250);
/// The interval between reports while a load or unload is in progress.
const PROGRESS_REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// How long before its expected end a load may already be listed in the entry.
const ENTRY_LEAD_MAX: Duration = Duration::from_millis(200);
/// The delay before a report is requested again after a call that failed.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The pause before the next call after one was answered by another runner or incarnation.
pub(super) const WRONG_RUNNER_PAUSE: Duration = Duration::from_secs(1);
/// The time after which an adapter counts as loaded once its order was accepted.
pub(super) const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(20);
/// How long an unloading model must be unused before it counts as unloaded.
const UNLOAD_UNUSED_MIN: Duration = Duration::from_millis(150);
/// How long a load may stay pending while room is made for it.
const PENDING_LOAD_TIME_MAX: Duration = Duration::from_secs(10);
/// The interval between comparisons of the tracked state with the entry.
const ENTRY_COMPARE_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long the entry may lag behind an accepted order.
const ENTRY_LAG_MAX: Duration = Duration::from_millis(3_000);
/// The number of reports in a row that may be older than the known state; a further one is taken
/// as current.
const STALE_REPORTS_MAX: u32 = 6;

/// The tracked state of one runner.
#[derive(Debug)]
pub(super) struct RunnerRecord {
    pub service: ServiceId,
    /// The address that orders and report calls are sent to.
    pub address: SocketAddr,
    /// The state of the runner as the planner sees it.
    pub state: PlannedRunner,
    /// The number of orders that the runner has accepted, once known.
    pub accepted_orders: Option<u64>,
    /// Whether a call for an order or a report is in progress.
    pub call_in_progress: bool,
    /// The last order, until its reply or a later report shows whether it was accepted.
    pub(super) unresolved_order: Option<Order>,
    /// When to request the next report.
    pub(super) report_at: Option<Instant>,
    /// The number of reports in a row that were older than the known state.
    stale_reports: u32,
    /// When orders may be sent again after one that failed.
    pub(super) paused_until: Instant,
    /// Whether the runner carries out an order that this record does not know.
    has_unknown_order: bool,
    /// The model that is being loaded, and when the load should be done.
    pub(super) loading: Option<(ModelId, Instant)>,
    /// The model that is being unloaded, and since when no request uses it.
    pub(super) unloading: Option<(ModelId, Instant)>,
    /// When the last order was accepted.
    pub(super) accepted_at: Option<Instant>,
    /// When the adapters that are being loaded count as loaded.
    pub(super) adapters_loaded_at: Option<Instant>,
    /// When the pending load is given up.
    pending_load_until: Instant,
    /// When the tracked state was last compared with the entry.
    entry_compared_at: Instant,
    /// When the last report was applied.
    report_applied_at: Option<Instant>,
}

impl RunnerRecord {
    /// Creates the record of a runner from its entry.
    ///
    /// The entry shows neither an order in progress nor the number of accepted orders, so a report
    /// is requested at once.
    pub fn new(view: &RunnerView, now: Instant) -> Self {
        let entry = &view.entry;
        let state = PlannedRunner {
            key: entry.key.clone(),
            zone: entry.zone.clone(),
            is_ready: false,
            accepts_orders: false,
            models: entry
                .models
                .iter()
                .map(|held| loaded_copy(held, now))
                .collect(),
            pending_load: None,
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            in_flight: 0,
            reserved_mb: 0.0,
            reserved_slots: 0,
            pending_release: None,
        };
        Self {
            service: entry.service.clone(),
            address: entry.address,
            state,
            accepted_orders: None,
            call_in_progress: false,
            unresolved_order: None,
            report_at: Some(now),
            stale_reports: 0,
            paused_until: now,
            has_unknown_order: false,
            loading: None,
            unloading: None,
            accepted_at: None,
            adapters_loaded_at: None,
            pending_load_until: now,
            entry_compared_at: now,
            report_applied_at: None,
        }
    }

    /// Updates the record from the runner's current entry and load.
    pub fn sync(&mut self, view: &RunnerView, now: Instant) {
        let entry = &view.entry;
        self.address = entry.address;
        self.state.is_ready = entry.state == Readiness::Ready;
        self.state.in_flight = view.in_flight;
        self.state.in_memory.clone_from(&entry.in_memory);
        self.state.on_disk.clone_from(&entry.on_disk);
        self.update_usage(view, now);
        self.finish_listed_load(entry, now);
        self.advance_time(now);
    }

    /// Updates the requests in flight by model and adapter.
    fn update_usage(&mut self, view: &RunnerView, now: Instant) {
        for copy in &mut self.state.models {
            copy.in_flight = 0;
            for adapter in &mut copy.adapters {
                adapter.in_flight = 0;
            }
        }
        for (model, adapter, count) in &view.in_use {
            let Ok(position) = self.state.position(model) else {
                continue;
            };
            let copy = &mut self.state.models[position];
            copy.in_flight += count;
            let Some(adapter) = adapter else {
                continue;
            };
            let mut adapters = copy.adapters.iter_mut();
            if let Some(known) = adapters.find(|known| known.adapter == *adapter) {
                known.in_flight += count;
                known.used_at = now;
            }
        }
    }

    /// Marks a load as done if the entry lists the model close to the expected end or later; an
    /// entry from before that may be older than the load.
    fn finish_listed_load(&mut self, entry: &RunnerEntry, now: Instant) {
        let Some((model, due)) = &self.loading else {
            return;
        };
        let is_listed = entry.models.iter().any(|held| held.model == *model);
        if is_listed && now + ENTRY_LEAD_MAX >= *due {
            self.finish_load();
        }
    }

    /// Marks the model that is being loaded as loaded.
    fn finish_load(&mut self) {
        if let Some((model, _)) = self.loading.take()
            && let Ok(position) = self.state.position(&model)
        {
            self.state.models[position].state = CopyState::Loaded;
        }
    }

    /// Applies the state changes that are due by time.
    fn advance_time(&mut self, now: Instant) {
        if self.adapters_loaded_at.is_some_and(|due| now >= due) {
            self.adapters_loaded_at = None;
            self.finish_adapters();
        }
        if let Some((model, unused_since)) = self.unloading.take() {
            self.advance_unload(model, unused_since, now);
        }
        if let Some((_, due)) = &self.loading
            && now >= *due + PROGRESS_REPORT_INTERVAL
        {
            self.report_at.get_or_insert(now);
        }
        if self.state.pending_load.is_some() && now >= self.pending_load_until {
            self.state.pending_load = None;
        }
        self.state.accepts_orders = self.can_accept_orders(now);
    }

    /// Counts an unloading model as unloaded once no request has used it for a while.
    fn advance_unload(&mut self, model: ModelId, unused_since: Instant, now: Instant) {
        let Ok(position) = self.state.position(&model) else {
            return;
        };
        let is_used = self.state.models[position].in_flight > 0;
        let unused_since = if is_used { now } else { unused_since };
        if now.duration_since(unused_since) < UNLOAD_UNUSED_MIN {
            self.unloading = Some((model, unused_since));
            return;
        }
        self.state.pending_release = Some(self.state.models.remove(position));
        if self.state.pending_load.is_none() {
            self.report_at.get_or_insert(now + REPORT_DELAY);
        }
    }

    /// Marks the adapters that are being loaded as loaded.
    fn finish_adapters(&mut self) {
        // An adapter whose order has no reply yet may not be loading at all.
        let unanswered = match &self.unresolved_order {
            Some(Order::LoadAdapter(model, adapter)) => Some((model, adapter)),
            _ => None,
        };
        for copy in &mut self.state.models {
            let loading = copy.adapters.iter_mut().filter(|adapter| {
                adapter.state == CopyState::Loading
                    && unanswered != Some((&copy.model, &adapter.adapter))
            });
            loading.for_each(|adapter| adapter.state = CopyState::Loaded);
        }
    }

    /// Returns whether the runner can be sent an order now.
    fn can_accept_orders(&self, now: Instant) -> bool {
        let is_resolved =
            self.unresolved_order.is_none() && self.report_at.is_none() && !self.call_in_progress;
        let is_idle = !self.has_unknown_order && self.loading.is_none() && self.unloading.is_none();
        is_resolved
            && is_idle
            && self.state.is_ready
            && self.accepted_orders.is_some()
            && now >= self.paused_until
    }

    /// Returns whether the tracked state must be broadcast again because it differs from the
    /// entry.
    ///
    /// Nodes drop residency changes after a while, and the runner list is not updated while the
    /// store is down. The difference may also come from a late order that changed what the runner
    /// holds, so a report is requested first.
    pub fn needs_rebroadcast(&mut self, differs: bool, now: Instant) -> bool {
        let passed = |since: Option<Instant>, time| {
            since.is_none_or(|since| now.duration_since(since) >= time)
        };
        let is_resolved = self.accepted_orders.is_some()
            && self.unresolved_order.is_none()
            && !self.call_in_progress;
        let is_due = passed(Some(self.entry_compared_at), ENTRY_COMPARE_INTERVAL);
        if !is_resolved || !is_due || self.report_at.is_some() {
            return false;
        }
        self.entry_compared_at = now;
        if !differs || !passed(self.accepted_at, ENTRY_LAG_MAX) {
            return false;
        }
        let is_checked = !passed(self.report_applied_at, ENTRY_COMPARE_INTERVAL * 2);
        if !is_checked {
            self.report_at = Some(now);
        }
        is_checked
    }

    /// Returns whether a report is due.
    pub fn is_report_due(&self, now: Instant) -> bool {
        !self.call_in_progress && self.state.is_ready && self.report_at.is_some_and(|at| now >= at)
    }

    /// Returns the next time at which the record changes by itself or a report is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        let report_at = self
            .report_at
            .filter(|_| !self.call_in_progress && self.state.is_ready);
        let report_pending = self.report_at.is_some() || self.call_in_progress;
        let load_due = self
            .loading
            .as_ref()
            .map(|(_, due)| *due + PROGRESS_REPORT_INTERVAL);
        let load_due = load_due.filter(|_| !report_pending);
        let unload_due = self
            .unloading
            .as_ref()
            .map(|(_, since)| *since + UNLOAD_UNUSED_MIN);
        [report_at, load_due, unload_due, self.adapters_loaded_at]
            .into_iter()
            .flatten()
            .min()
    }

    /// Records that a report is being requested.
    pub fn report_requested(&mut self) {
        self.call_in_progress = true;
        self.report_at = None;
        self.state.accepts_orders = false;
    }

    /// Records that an order is being sent, and applies its effect in advance.
    pub fn order_sent(&mut self, planned: &PlannedOrder, now: Instant) {
        self.call_in_progress = true;
        self.state.accepts_orders = false;
        self.unresolved_order = Some(planned.order.clone());
        if planned.makes_room_for.is_some() && planned.makes_room_for != self.state.pending_load {
            self.pending_load_until = now + PENDING_LOAD_TIME_MAX;
        }
        self.state.pending_load.clone_from(&planned.makes_room_for);
        match &planned.order {
            Order::LoadModel(model) => self.state.add_loading_model(model, now),
            Order::UnloadModel(model) => self.state.set_model_state(model, CopyState::Unloading),
            Order::LoadAdapter(model, adapter) => {
                self.state.add_loading_adapter(model, adapter, now)
            }
            Order::UnloadAdapter(model, adapter) => {
                self.state
                    .set_adapter_state(model, adapter, CopyState::Unloading);
            }
        }
    }

    /// Handles a report or its absence; reports of another incarnation and outdated ones are
    /// ignored.
    pub fn handle_report(&mut self, report: &Result<RunnerReport, OrderUnknown>, now: Instant) {
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
            Some(Order::LoadModel(model)) if report.busy => self.loading = Some((model, now)),
            Some(Order::UnloadModel(model)) if report.busy => self.unloading = Some((model, now)),
            _ => {}
        }
        self.accepted_orders = Some(report.orders_accepted);
        self.report_applied_at = Some(now);
        let is_recent = is_same
            && self
                .accepted_at
                .is_some_and(|at| now.duration_since(at) < REPORT_AGE_MAX);
        let in_progress = report.busy || is_recent;
        let mut unloading = self.unloading.take().map(|(model, _)| model);
        if let Some(copy) = self.state.pending_release.take_if(|_| report.busy) {
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
        let known = std::mem::take(&mut self.state.models);
        self.state.models =
            copies_from_report(report, known, loading_model, unloading.as_ref(), now);
        let is_listed = |model: &ModelId| report.models.iter().any(|held| held.model == *model);
        self.loading = loading.filter(|(model, _)| in_progress && !is_listed(model));
        self.unloading = unloading.filter(is_listed).map(|model| (model, now));
        let is_known = self.loading.is_some() || self.unloading.is_some();
        self.has_unknown_order = report.busy && !is_known;
        if !report.coming.is_empty() {
            self.adapters_loaded_at = Some(now + ADAPTER_LOAD_TIME);
        }
        if self.has_unknown_order || self.loading.is_some() {
            self.report_at = Some(now + PROGRESS_REPORT_INTERVAL);
        }
    }
}
