//! Applies the passing of time to the tracked state of a runner.

use {
    super::{
        CopyState,
        runner_record::{PROGRESS_REPORT_INTERVAL, REPORT_DELAY, RunnerRecord, UNLOAD_UNUSED_MIN},
    },
    crate::{discovery::RunnerEntry, node::Order, traffic::ModelId},
    std::time::Duration,
    tokio::time::Instant,
};

/// How long before its expected end a load may already be listed in the entry.
const ENTRY_LEAD_MAX: Duration = Duration::from_millis(200);

impl RunnerRecord {
    /// Marks a load as done if the entry lists the model close to the expected end or later; an
    /// entry from before that may be older than the load.
    pub(super) fn finish_listed_load(&mut self, entry: &RunnerEntry, now: Instant) {
        let Some((model, due)) = &self.loading else {
            return;
        };
        let is_listed = entry.models.iter().any(|resident| resident.model == *model);
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
    pub(super) fn advance_time(&mut self, now: Instant) {
        if self.adapters_loaded_at.is_some_and(|due| now >= due) {
            self.adapters_loaded_at = None;
            self.finish_adapters();
        }
        if self.adapter_report_at.is_some_and(|due| now >= due) && !self.call_in_progress {
            self.adapter_report_at = None;
            self.report_at.get_or_insert(now);
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
}
