//! The limits that runners name, in a node's state about runners.

use {
    super::{LimitReport, NodeList, registry_state::RegistryState},
    crate::{discovery::RunnerKey, units::RequestRate},
    tokio::time::Instant,
};

impl RegistryState {
    /// Records the limit on requests that a runner's response names, or that it names none; returns
    /// whether the limit changed.
    pub(super) fn record_limit(
        &mut self,
        key: &RunnerKey,
        limit: Option<RequestRate>,
        now: Instant,
    ) -> bool {
        self.limit_counters.responses += u64::from(limit.is_some());
        if !self.apply_limit(key, limit, now) {
            return false;
        }
        if let Some(runner) = self.runner_mut(key) {
            runner.gate.limit.mark_changed();
        }
        let limit = limit.map(|limit| limit.to_string()).unwrap_or_default();
        log::info!(
            runner:% = key.id,
            born_unix_ms = key.born_unix_ms,
            requests_per_s = limit;
            "dispatch: the limit that a runner names changed."
        );
        true
    }

    /// Applies a limit that a response named at an instant, to any node; returns whether the limit
    /// changed.
    pub(super) fn apply_limit(
        &mut self,
        key: &RunnerKey,
        limit: Option<RequestRate>,
        at: Instant,
    ) -> bool {
        let mut services = self.services.iter_mut();
        let runner = services.find_map(|service| service.runner_mut(key));
        let Some(runner) = runner else {
            return false;
        };
        let changed = runner.gate.limit.observe(limit, at);
        if changed {
            runner.gate.limit.set_share(key, &self.nodes);
        }
        changed
    }

    /// Replaces the nodes that share the limits of runners.
    pub(super) fn set_nodes(&mut self, nodes: NodeList) {
        if self.nodes == nodes {
            return;
        }
        self.nodes = nodes;
        let services = self.services.iter_mut();
        for runner in services.flat_map(|service| &mut service.runners) {
            let key = runner.entry.key.clone();
            runner.gate.limit.set_share(&key, &self.nodes);
        }
    }

    /// Returns the limits for which a report is due.
    pub(super) fn due_limits(&mut self, full: bool, now: Instant) -> Vec<LimitReport> {
        let runners = self.runners_mut();
        let due = runners.filter_map(|runner| {
            let key = &runner.entry.key;
            runner.gate.limit.due_report(key, full, now)
        });
        due.collect()
    }

    /// Returns all limits that runners name, and those that ended lately.
    pub(super) fn known_limits(&mut self, now: Instant) -> Vec<LimitReport> {
        let runners = self.runners_mut();
        let known = runners.filter_map(|runner| runner.gate.limit.report(&runner.entry.key, now));
        known.collect()
    }
}
