//! Tracks one runner: the models and adapters it holds, and the order in progress.

use {
    super::{CopyState, PlannedOrder, PlannedRunner, residents::loaded_copy},
    crate::{
        discovery::RunnerState as Readiness,
        dispatch::RunnerView,
        node::Order,
        traffic::{ModelId, ServiceId},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// The delay before a report is requested after an unload, or an order that was not accepted.
pub(super) const REPORT_DELAY: Duration = Duration::from_millis(250);
/// The interval between reports while a load or unload is in progress.
pub(super) const PROGRESS_REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// The pause before the next call after one was answered by another runner or incarnation.
pub(super) const WRONG_RUNNER_PAUSE: Duration = Duration::from_secs(1);
/// The time after which an adapter counts as loaded once its order was accepted.
pub(super) const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(20);
/// How long an unloading model must be unused before it counts as unloaded.
pub(super) const UNLOAD_UNUSED_MIN: Duration = Duration::from_millis(150);
/// The interval between reports while an adapter is unloaded that requests still use.
pub(super) const ADAPTER_REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long an adapter that is listed counts as being unloaded after its last use.
pub(super) const ADAPTER_UNLOAD_TIME_MAX: Duration = Duration::from_secs(30);
/// How long a load may stay pending while room is made for it.
const PENDING_LOAD_TIME_MAX: Duration = Duration::from_secs(10);
/// The interval between comparisons of the tracked state with the entry.
const ENTRY_COMPARE_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long the entry may lag behind an accepted order.
const ENTRY_LAG_MAX: Duration = Duration::from_millis(3_000);

/// The tracked state of one runner.
#[derive(Debug)]
pub(super) struct RunnerRecord {
    /// The service that the runner belongs to.
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
    pub(super) stale_reports: u32,
    /// When orders may be sent again after one that failed.
    pub(super) paused_until: Instant,
    /// Whether the runner carries out an order that this record does not know.
    pub(super) has_unknown_order: bool,
    /// The model that is being loaded, and when the load should be done.
    pub(super) loading: Option<(ModelId, Instant)>,
    /// The model that is being unloaded, and since when no request uses it.
    pub(super) unloading: Option<(ModelId, Instant)>,
    /// When the last order was accepted.
    pub(super) accepted_at: Option<Instant>,
    /// When the adapters that are being loaded count as loaded.
    pub(super) adapters_loaded_at: Option<Instant>,
    /// When a report is due that shows whether the adapters that are being unloaded are gone.
    ///
    /// Orders go on until then, unlike before other reports.
    pub(super) adapter_report_at: Option<Instant>,
    /// When the pending load is given up.
    pub(super) pending_load_until: Instant,
    /// When the tracked state was last compared with the entry.
    entry_compared_at: Instant,
    /// When the last report was applied.
    pub(super) report_applied_at: Option<Instant>,
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
                .map(|resident| loaded_copy(resident, now))
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
            adapter_report_at: None,
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
            if let Some(resident) = adapters.find(|resident| resident.adapter == *adapter) {
                resident.in_flight += count;
                resident.used_at = now;
            }
        }
    }

    /// Returns whether the runner can be sent an order now.
    pub(super) fn can_accept_orders(&self, now: Instant) -> bool {
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
        let adapter_report_at = self.adapter_report_at.filter(|_| !report_pending);
        let by_time = [load_due, unload_due, self.adapters_loaded_at];
        let reports = [report_at, adapter_report_at];
        by_time.into_iter().chain(reports).flatten().min()
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
}
