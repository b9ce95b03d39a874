//! Tracks one runner: the models and adapters it holds, and the order in progress.

use {
    super::{
        CopyState, PlannedOrder, PlannedRunner, report_copies::rebuild_models, residents::held_copy,
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
pub(super) const REPORT_LAG: Duration = Duration::from_millis(400);
/// The delay before a report is requested after an unload, or an order that was not accepted.
pub(super) const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// The interval between reports while a load or unload is in progress.
const PROGRESS_PAUSE: Duration = Duration::from_millis(300);
/// How long before its expected end a load may already be listed in the entry.
const ENTRY_EARLY: Duration = Duration::from_millis(200);
/// The delay before a report is requested again after a call that failed.
const SILENCE_PAUSE: Duration = Duration::from_millis(500);
/// The pause before the next call after one was answered by another runner or incarnation.
pub(super) const WRONG_RUNNER_PAUSE: Duration = Duration::from_secs(1);
/// The time after which an adapter counts as loaded once its order was accepted.
pub(super) const ADAPTER_TIME: Duration = Duration::from_millis(20);
/// How long an unloading model must be unused before it counts as unloaded.
const UNUSED_MIN: Duration = Duration::from_millis(150);
/// How long a load may stay pending while room is made for it.
const PENDING_LOAD_MAX: Duration = Duration::from_secs(10);
/// The interval between comparisons of the tracked state with the entry.
const COMPARE_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long the entry may lag behind an accepted order.
const ENTRY_LAG: Duration = Duration::from_millis(3_000);
/// The number of reports in a row that may be older than the known state; a further one is taken
/// as current.
const STALE_REPORTS_MAX: u32 = 6;

/// The tracked state of one runner.
#[derive(Debug)]
pub(super) struct RunnerRecord {
    pub service: ServiceId,
    pub address: SocketAddr,
    pub state: PlannedRunner,
    /// The number of orders that the runner has accepted, once known.
    pub count: Option<u64>,
    /// Whether a call for an order or a report is in progress.
    pub in_call: bool,
    /// The last order, until its reply or a later report shows whether it was accepted.
    pub(super) sent: Option<Order>,
    /// When to request the next report.
    pub(super) ask_at: Option<Instant>,
    stale_reports: u32,
    pub(super) quiet_until: Instant,
    /// Whether the runner carries out an order that this record does not know.
    is_busy: bool,
    /// The model that is being loaded, and when the load should be done.
    pub(super) loading: Option<(ModelId, Instant)>,
    /// The model that is being unloaded, and since when no request uses it.
    pub(super) unloading: Option<(ModelId, Instant)>,
    /// When the last order was accepted.
    pub(super) accepted_at: Option<Instant>,
    pub(super) adapters_due: Option<Instant>,
    pending_load_until: Instant,
    compared_at: Instant,
    /// When the last report was applied.
    adopted_at: Option<Instant>,
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
                .map(|held| held_copy(held, now))
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
            count: None,
            in_call: false,
            sent: None,
            ask_at: Some(now),
            stale_reports: 0,
            quiet_until: now,
            is_busy: false,
            loading: None,
            unloading: None,
            accepted_at: None,
            adapters_due: None,
            pending_load_until: now,
            compared_at: now,
            adopted_at: None,
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
        self.sync_use(view, now);
        self.sync_load(entry, now);
        self.advance(now);
    }

    /// Updates the requests in flight by model and adapter.
    fn sync_use(&mut self, view: &RunnerView, now: Instant) {
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
    fn sync_load(&mut self, entry: &RunnerEntry, now: Instant) {
        let Some((model, due)) = &self.loading else {
            return;
        };
        let is_listed = entry.models.iter().any(|held| held.model == *model);
        if is_listed && now + ENTRY_EARLY >= *due {
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
    fn advance(&mut self, now: Instant) {
        if self.adapters_due.is_some_and(|due| now >= due) {
            self.adapters_due = None;
            self.finish_adapters();
        }
        if let Some((model, unused_since)) = self.unloading.take() {
            self.advance_unload(model, unused_since, now);
        }
        if let Some((_, due)) = &self.loading
            && now >= *due + PROGRESS_PAUSE
        {
            self.ask_at.get_or_insert(now);
        }
        if self.state.pending_load.is_some() && now >= self.pending_load_until {
            self.state.pending_load = None;
        }
        self.state.accepts_orders = self.accepts_orders(now);
    }

    /// Counts an unloading model as unloaded once no request has used it for a while.
    fn advance_unload(&mut self, model: ModelId, unused_since: Instant, now: Instant) {
        let Ok(position) = self.state.position(&model) else {
            return;
        };
        let is_used = self.state.models[position].in_flight > 0;
        let unused_since = if is_used { now } else { unused_since };
        if now.duration_since(unused_since) < UNUSED_MIN {
            self.unloading = Some((model, unused_since));
            return;
        }
        self.state.pending_release = Some(self.state.models.remove(position));
        if self.state.pending_load.is_none() {
            self.ask_at.get_or_insert(now + REPORT_PAUSE);
        }
    }

    /// Marks the adapters that are being loaded as loaded.
    fn finish_adapters(&mut self) {
        // An adapter whose order has no reply yet may not be loading at all.
        let unanswered = match &self.sent {
            Some(Order::LoadAdapter(model, adapter)) => Some((model, adapter)),
            _ => None,
        };
        for copy in &mut self.state.models {
            let coming = copy.adapters.iter_mut().filter(|adapter| {
                adapter.state == CopyState::Loading
                    && unanswered != Some((&copy.model, &adapter.adapter))
            });
            coming.for_each(|adapter| adapter.state = CopyState::Loaded);
        }
    }

    /// Returns whether the runner can be sent an order now.
    fn accepts_orders(&self, now: Instant) -> bool {
        let is_settled = self.sent.is_none() && self.ask_at.is_none() && !self.in_call;
        let is_idle = !self.is_busy && self.loading.is_none() && self.unloading.is_none();
        is_settled
            && is_idle
            && self.state.is_ready
            && self.count.is_some()
            && now >= self.quiet_until
    }

    /// Returns whether the tracked state must be broadcast again because it differs from the
    /// entry.
    ///
    /// Nodes drop residency changes after a while, and the runner list is not updated while the
    /// store is down. The difference may also come from a late order that changed what the runner
    /// holds, so a report is requested first.
    pub fn retells(&mut self, differs: bool, now: Instant) -> bool {
        let passed = |since: Option<Instant>, time| {
            since.is_none_or(|since| now.duration_since(since) >= time)
        };
        let is_settled = self.count.is_some() && self.sent.is_none() && !self.in_call;
        let is_due = passed(Some(self.compared_at), COMPARE_INTERVAL);
        if !is_settled || !is_due || self.ask_at.is_some() {
            return false;
        }
        self.compared_at = now;
        if !differs || !passed(self.accepted_at, ENTRY_LAG) {
            return false;
        }
        let is_checked = !passed(self.adopted_at, COMPARE_INTERVAL * 2);
        if !is_checked {
            self.ask_at = Some(now);
        }
        is_checked
    }

    /// Returns whether a report is due.
    pub fn wants_report(&self, now: Instant) -> bool {
        !self.in_call && self.state.is_ready && self.ask_at.is_some_and(|at| now >= at)
    }

    /// Returns the next time at which the record changes by itself or a report is due.
    pub fn next_due(&self) -> Option<Instant> {
        let ask_at = self.ask_at.filter(|_| !self.in_call && self.state.is_ready);
        let asks = self.ask_at.is_some() || self.in_call;
        let load_due = self.loading.as_ref().map(|(_, due)| *due + PROGRESS_PAUSE);
        let load_due = load_due.filter(|_| !asks);
        let unload_due = self
            .unloading
            .as_ref()
            .map(|(_, since)| *since + UNUSED_MIN);
        [ask_at, load_due, unload_due, self.adapters_due]
            .into_iter()
            .flatten()
            .min()
    }

    /// Records that a report is being requested.
    pub fn asked(&mut self) {
        self.in_call = true;
        self.ask_at = None;
        self.state.accepts_orders = false;
    }

    /// Records that an order is being sent, and applies its effect in advance.
    pub fn sent(&mut self, planned: &PlannedOrder, now: Instant) {
        self.in_call = true;
        self.state.accepts_orders = false;
        self.sent = Some(planned.order.clone());
        if planned.makes_room_for.is_some() && planned.makes_room_for != self.state.pending_load {
            self.pending_load_until = now + PENDING_LOAD_MAX;
        }
        self.state.pending_load.clone_from(&planned.makes_room_for);
        match &planned.order {
            Order::LoadModel(model) => self.state.insert_model(model, now),
            Order::UnloadModel(model) => self.state.set_model(model, CopyState::Unloading),
            Order::LoadAdapter(model, adapter) => self.state.insert_adapter(model, adapter, now),
            Order::UnloadAdapter(model, adapter) => {
                self.state.set_adapter(model, adapter, CopyState::Unloading);
            }
        }
    }

    /// Handles a report or its absence; reports of another incarnation and outdated ones are
    /// ignored.
    pub fn reported(&mut self, report: &Result<RunnerReport, OrderUnknown>, now: Instant) {
        self.in_call = false;
        let Ok(report) = report else {
            self.ask_at = Some(now + SILENCE_PAUSE);
            return;
        };
        let born_unix_ms = self.state.key.born_unix_ms;
        if report.born_unix_ms != born_unix_ms && report.born_unix_ms != 0 && born_unix_ms != 0 {
            // The runner list will contain the new incarnation.
            self.quiet_until = now + WRONG_RUNNER_PAUSE;
            self.ask_at = Some(now + WRONG_RUNNER_PAUSE);
            return;
        }
        let is_stale = self
            .count
            .is_some_and(|count| report.orders_accepted < count);
        if is_stale && self.stale_reports < STALE_REPORTS_MAX {
            self.stale_reports += 1;
            self.ask_at = Some(now + PROGRESS_PAUSE);
            return;
        }
        self.stale_reports = 0;
        self.adopt(report, now);
    }

    /// Replaces the tracked state with that of a report.
    fn adopt(&mut self, report: &RunnerReport, now: Instant) {
        let is_same = self.count == Some(report.orders_accepted);
        match self.sent.take() {
            // The order was not accepted. The next order to the runner makes it reject a late
            // arrival of this one, by the number of accepted orders.
            Some(order) if is_same => self.undo(&order),
            Some(Order::LoadModel(model)) if report.busy => self.loading = Some((model, now)),
            Some(Order::UnloadModel(model)) if report.busy => self.unloading = Some((model, now)),
            _ => {}
        }
        self.count = Some(report.orders_accepted);
        self.adopted_at = Some(now);
        let is_recent = is_same
            && self
                .accepted_at
                .is_some_and(|at| now.duration_since(at) < REPORT_LAG);
        let in_progress = report.busy || is_recent;
        let mut going = self.unloading.take().map(|(model, _)| model);
        if let Some(copy) = self.state.pending_release.take_if(|_| report.busy) {
            going = Some(copy.model);
        }
        if !in_progress {
            self.state.pending_release = None;
        }
        let loading = self.loading.take();
        let coming = loading
            .as_ref()
            .map(|(model, _)| model)
            .filter(|_| in_progress);
        let going = going.filter(|_| in_progress);
        let known = std::mem::take(&mut self.state.models);
        self.state.models = rebuild_models(report, known, coming, going.as_ref(), now);
        let is_listed = |model: &ModelId| report.models.iter().any(|held| held.model == *model);
        self.loading = loading.filter(|(model, _)| in_progress && !is_listed(model));
        self.unloading = going.filter(is_listed).map(|model| (model, now));
        let is_known = self.loading.is_some() || self.unloading.is_some();
        self.is_busy = report.busy && !is_known;
        if !report.coming.is_empty() {
            self.adapters_due = Some(now + ADAPTER_TIME);
        }
        if self.is_busy || self.loading.is_some() {
            self.ask_at = Some(now + PROGRESS_PAUSE);
        }
    }
}
