//! The account of one runner: what it holds, and what it was told to hold.

use {
    super::{
        CopyState, PlannedOrder, RunnerState, report_reading::rebuild_models, residents::held_copy,
    },
    crate::{
        discovery::{RunnerEntry, RunnerState as Readiness},
        dispatch::RunnerView,
        node::{Order, RunnerCallError, RunnerReport},
        traffic::{ModelId, ServiceId},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// How old a report may be.
pub(super) const REPORT_LAG: Duration = Duration::from_millis(400);
/// The pause before a report after an order that was not accepted as expected.
pub(super) const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// The pause before the next report while a load or unload lasts.
const PROGRESS_PAUSE: Duration = Duration::from_millis(300);
/// How long before its end a load may show in the entry.
const ENTRY_EARLY: Duration = Duration::from_millis(200);
/// The pause after a report that did not come.
const SILENCE_PAUSE: Duration = Duration::from_millis(500);
/// The pause after an order that met another runner.
pub(super) const WRONG_RUNNER_PAUSE: Duration = Duration::from_secs(1);
/// The time after which an accepted adapter counts as loaded.
pub(super) const ADAPTER_TIME: Duration = Duration::from_millis(20);
/// How long no request must use a dropped model until it counts as gone.
const UNUSED_MIN: Duration = Duration::from_millis(150);
/// How long room is made for a model at most.
const GOAL_MAX: Duration = Duration::from_secs(10);
/// The pause between two comparisons with the entry.
const COMPARE_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long the entry may lag behind an order.
const ENTRY_LAG: Duration = Duration::from_millis(3_000);
/// The reports older than the known state after which they are believed.
const STALE_REPORTS_MAX: u32 = 6;

/// The account of one runner.
#[derive(Debug)]
pub(super) struct RunnerRecord {
    pub service: ServiceId,
    pub address: SocketAddr,
    pub state: RunnerState,
    /// The number of orders that the runner accepted, once known.
    pub count: Option<u64>,
    /// Whether an order or a report is under way.
    pub in_call: bool,
    /// An order that was sent and not answered, or not resolved.
    pub(super) sent: Option<Order>,
    /// When to ask for a report.
    pub(super) ask_at: Option<Instant>,
    stale_reports: u32,
    pub(super) quiet_until: Instant,
    /// Whether an unknown order is in progress.
    is_busy: bool,
    /// The model on its way, and when it is due.
    pub(super) loading: Option<(ModelId, Instant)>,
    /// The model that leaves, and since when no request uses it.
    pub(super) unloading: Option<(ModelId, Instant)>,
    /// When the last order was accepted.
    pub(super) accepted_at: Option<Instant>,
    pub(super) adapters_due: Option<Instant>,
    goal_until: Instant,
    compared_at: Instant,
    /// When the last report was taken over.
    adopted_at: Option<Instant>,
}

impl RunnerRecord {
    /// Begins the account of a runner from its entry.
    ///
    /// An entry tells neither of an order in progress nor how many were accepted; a report does.
    pub fn new(view: &RunnerView, now: Instant) -> Self {
        let entry = &view.entry;
        let state = RunnerState {
            key: entry.key.clone(),
            zone: entry.zone.clone(),
            is_ready: false,
            takes_orders: false,
            models: entry
                .models
                .iter()
                .map(|held| held_copy(held, now))
                .collect(),
            goal: None,
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            in_flight: 0,
            reserved_mb: 0.0,
            reserved_slots: 0,
            leaving: None,
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
            goal_until: now,
            compared_at: now,
            adopted_at: None,
        }
    }

    /// Works in the runner's present entry and load.
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

    /// Takes a load as finished once the entry lists the model about when it is due; an entry
    /// may be older than the load.
    fn sync_load(&mut self, entry: &RunnerEntry, now: Instant) {
        let Some((model, due)) = &self.loading else {
            return;
        };
        let is_listed = entry.models.iter().any(|held| held.model == *model);
        if is_listed && now + ENTRY_EARLY >= *due {
            self.finish_load();
        }
    }

    fn finish_load(&mut self) {
        if let Some((model, _)) = self.loading.take()
            && let Ok(position) = self.state.position(&model)
        {
            self.state.models[position].state = CopyState::Held;
        }
    }

    /// Works in the passing of time.
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
        if self.state.goal.is_some() && now >= self.goal_until {
            self.state.goal = None;
        }
        self.state.takes_orders = self.takes_orders(now);
    }

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
        self.state.leaving = Some(self.state.models.remove(position));
        if self.state.goal.is_none() {
            self.ask_at.get_or_insert(now + REPORT_PAUSE);
        }
    }

    fn finish_adapters(&mut self) {
        // One whose order is not answered yet is not on its way for sure.
        let unanswered = match &self.sent {
            Some(Order::LoadAdapter(model, adapter)) => Some((model, adapter)),
            _ => None,
        };
        for copy in &mut self.state.models {
            let coming = copy.adapters.iter_mut().filter(|adapter| {
                adapter.state == CopyState::Coming
                    && unanswered != Some((&copy.model, &adapter.adapter))
            });
            coming.for_each(|adapter| adapter.state = CopyState::Held);
        }
    }

    fn takes_orders(&self, now: Instant) -> bool {
        let is_settled = self.sent.is_none() && self.ask_at.is_none() && !self.in_call;
        let is_idle = !self.is_busy && self.loading.is_none() && self.unloading.is_none();
        is_settled
            && is_idle
            && self.state.is_ready
            && self.count.is_some()
            && now >= self.quiet_until
    }

    /// Compares the account with what the entry lists; returns whether to tell it again.
    ///
    /// What was told is forgotten after a time, and the list of runners may stand still while the
    /// store is down; but a late order may also have changed what the runner holds, so that a
    /// report is asked for first.
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

    /// Returns whether to ask for a report now.
    pub fn wants_report(&self, now: Instant) -> bool {
        !self.in_call && self.state.is_ready && self.ask_at.is_some_and(|at| now >= at)
    }

    /// Returns when to look at the account again.
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

    /// Notes that a report is being asked for.
    pub fn asked(&mut self) {
        self.in_call = true;
        self.ask_at = None;
        self.state.takes_orders = false;
    }

    /// Notes that an order is being sent.
    pub fn sent(&mut self, planned: &PlannedOrder, now: Instant) {
        self.in_call = true;
        self.state.takes_orders = false;
        self.sent = Some(planned.order.clone());
        if planned.goal.is_some() && planned.goal != self.state.goal {
            self.goal_until = now + GOAL_MAX;
        }
        self.state.goal.clone_from(&planned.goal);
        match &planned.order {
            Order::LoadModel(model) => self.state.insert_model(model, now),
            Order::UnloadModel(model) => self.state.set_model(model, CopyState::Going),
            Order::LoadAdapter(model, adapter) => self.state.insert_adapter(model, adapter, now),
            Order::UnloadAdapter(model, adapter) => {
                self.state.set_adapter(model, adapter, CopyState::Going);
            }
        }
    }

    /// Works in a report.
    pub fn reported(&mut self, report: &Result<RunnerReport, RunnerCallError>, now: Instant) {
        self.in_call = false;
        let Ok(report) = report else {
            self.ask_at = Some(now + SILENCE_PAUSE);
            return;
        };
        let born_unix_ms = self.state.key.born_unix_ms;
        if report.born_unix_ms != born_unix_ms && report.born_unix_ms != 0 && born_unix_ms != 0 {
            // The list of runners will bring the new start.
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

    fn adopt(&mut self, report: &RunnerReport, now: Instant) {
        let is_same = self.count == Some(report.orders_accepted);
        match self.sent.take() {
            // A late arrival is refused once the runner has accepted another order.
            Some(order) if is_same => self.undo(&order),
            Some(Order::LoadModel(model)) if report.order_in_progress => {
                self.loading = Some((model, now))
            }
            Some(Order::UnloadModel(model)) if report.order_in_progress => {
                self.unloading = Some((model, now))
            }
            _ => {}
        }
        self.count = Some(report.orders_accepted);
        self.adopted_at = Some(now);
        let is_recent = is_same
            && self
                .accepted_at
                .is_some_and(|at| now.duration_since(at) < REPORT_LAG);
        let in_progress = report.order_in_progress || is_recent;
        let mut going = self.unloading.take().map(|(model, _)| model);
        if let Some(copy) = self.state.leaving.take_if(|_| report.order_in_progress) {
            going = Some(copy.model);
        }
        if !in_progress {
            self.state.leaving = None;
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
        self.is_busy = report.order_in_progress && !is_known;
        if !report.loading_adapters.is_empty() {
            self.adapters_due = Some(now + ADAPTER_TIME);
        }
        if self.is_busy || self.loading.is_some() {
            self.ask_at = Some(now + PROGRESS_PAUSE);
        }
    }
}
