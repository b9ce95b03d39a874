//! What runners ask for, and whether they may be sent requests, in the shared state.

use {
    super::{SendDenial, registry_shared::RegistryShared},
    crate::{
        discovery::RunnerKey,
        traffic::{ServiceId, SoftwareVersion},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

impl RegistryShared {
    /// Records that a response says that its runner leaves.
    pub(super) fn record_statement(self: &Arc<Self>, key: &RunnerKey, now: Instant) {
        let is_first = self.with_state(|state, _| state.record_statement(key, now));
        if is_first {
            log::info!(
                runner:% = key.id,
                born_unix_ms = key.born_unix_ms;
                "dispatch: a runner says that it leaves."
            );
            self.urgent_report_pending.notify_one();
        }
    }

    /// Records that a runner asked this node for a pause.
    pub(super) fn record_pause(&self, key: &RunnerKey, pause: Duration, now: Instant) {
        let is_new = self.with_state(|state, _| {
            let gate = &mut state.runner_mut(key)?.gate;
            let is_new = gate.paused_until(now).is_none() && !pause.is_zero();
            gate.record_pause(pause, now);
            Some(is_new)
        });
        if is_new == Some(true) {
            log::info!(
                runner:% = key.id,
                born_unix_ms = key.born_unix_ms,
                pause_ms = pause.as_millis() as u64;
                "dispatch: a runner asks for a pause."
            );
        }
    }

    /// Records the rejections a second that a runner says it bears, for all runners of its service.
    pub(super) fn record_brittleness(
        &self,
        service: &ServiceId,
        rejections_per_s: Option<u32>,
        now: Instant,
    ) {
        self.with_state(|state, _| {
            let nodes = state.nodes.count();
            let service = state.service(service);
            if rejections_per_s.is_none() && !service.is_brittle {
                return;
            }
            service.is_brittle = rejections_per_s.is_some();
            // A node that gets no answer of some runners must not send them a burst.
            for runner in &mut service.runners {
                let brittleness = &mut runner.gate.brittleness;
                brittleness.observe(rejections_per_s, nodes, now);
            }
        });
    }

    /// Decides whether a request that was assigned earlier may still be sent.
    ///
    /// # Errors
    ///
    /// Returns why not.
    pub(super) fn check_assigned(
        &self,
        service: &ServiceId,
        runner: &RunnerKey,
        software: Option<&SoftwareVersion>,
        now: Instant,
    ) -> Result<(), SendDenial> {
        self.with_state(|state, _| match state.service(service).runner_mut(runner) {
            Some(runner) => runner.check_assigned(software, now),
            None => Err(SendDenial::Unlisted),
        })
    }
}
