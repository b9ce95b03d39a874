//! Chooses the copy of a model, and thereby the runner, for an inference request.

use {
    super::RunnerAttempts,
    crate::{
        routing::{RouteRequest, RunnerChoice, choose_runner},
        units::RunnerName,
    },
    std::time::Duration,
    tokio::time::{self, Instant},
};

impl RunnerAttempts<'_> {
    /// Chooses a runner; if no copy is ready, waits for one up to the copy wait of the settings.
    pub(super) async fn choose_or_wait(&self) -> Option<RunnerChoice> {
        if let Some(choice) = self.choose() {
            return Some(choice);
        }
        let limit = Duration::from_millis(self.entry.settings.copy_wait_ms);
        let mut views = self.entry.routes.receiver();
        views.mark_unchanged();
        self.entry.request_report();
        let deadline = self.request.arrived + limit;
        loop {
            if let Some(choice) = self.choose() {
                return Some(choice);
            }
            let changed = time::timeout_at(deadline, views.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return None;
            }
        }
    }

    /// Chooses a runner that was not tried yet, or else any.
    fn choose(&self) -> Option<RunnerChoice> {
        self.choose_except(&self.tried)
            .or_else(|| self.choose_except(&[]))
    }

    /// Chooses a runner that is neither leaving nor in `tried`.
    pub(super) fn choose_except(&self, tried: &[RunnerName]) -> Option<RunnerChoice> {
        let routes = self.entry.routes.current();
        let mut excluded = self.entry.leaving.runners(&routes);
        excluded.extend_from_slice(routes.leaving_runners());
        excluded.extend_from_slice(tried);
        let request = RouteRequest {
            model: &self.request.model,
            adapter: self.request.adapter.as_ref(),
            prefix_hashes: self.request.prefix_hash.as_slice(),
            excluded: &excluded,
        };
        let load_tracker = &self.entry.load_tracker;
        let now = Instant::now();
        choose_runner(
            &routes.runners,
            load_tracker,
            &request,
            now,
            &mut rand::rng(),
        )
        .filter(|choice| choice.adapter_resident)
    }
}
