//! This node's reach of services, in the shared state.

use {
    super::{RunnerRegistry, draws::draws, registry_shared::RegistryShared},
    crate::{discovery::RunnerEntry, traffic::ServiceId},
    rand::seq::SliceRandom,
    std::sync::Arc,
    tokio::time::Instant,
};

/// The runners of a service that are probed at once.
const PROBED_RUNNERS: usize = 3;

impl RunnerRegistry {
    /// Returns the runners to probe now, a few of each service whose reach is in doubt.
    pub fn take_probes(&self) -> Vec<Arc<RunnerEntry>> {
        let now = Instant::now();
        self.shared.with_state(|state, _| {
            let mut probes = Vec::new();
            for service in state.services() {
                let has_requests = service.runners.iter().any(|r| r.own_load.requests > 0);
                if !service.reach.take_probe(has_requests, now) {
                    continue;
                }
                let staying = service.runners.iter().filter(|r| r.gate.is_staying(now));
                let mut staying: Vec<_> = staying.map(|r| r.entry.clone()).collect();
                let (probed, _) = staying.partial_shuffle(&mut draws(), PROBED_RUNNERS);
                probes.extend_from_slice(probed);
            }
            probes
        })
    }

    /// Records whether a probed runner accepted a connection.
    pub fn record_probe(&self, runner: &RunnerEntry, is_reached: bool) {
        let now = Instant::now();
        match is_reached {
            true => self.shared.record_contact(&runner.service, now),
            false => self.shared.record_unreachable(&runner.key, now),
        }
    }

    /// Returns the services that have runners, of which this node reaches none although others may.
    pub fn services_out_of_reach(&self) -> Vec<ServiceId> {
        let now = Instant::now();
        self.shared.with_state(|state, _| {
            let services = state.services().iter();
            let out = services.filter(|s| s.has_staying_runner(now) && s.reach.passes_on(now));
            out.map(|service| service.name.clone()).collect()
        })
    }

    /// Returns whether this node reaches no runner at all although other nodes may.
    pub fn is_cut_off(&self) -> bool {
        let now = Instant::now();
        self.shared.with_state(|state, _| {
            let services = state.services().iter();
            let mut used = services.filter(|s| s.has_staying_runner(now)).peekable();
            used.peek().is_some() && used.all(|service| service.reach.passes_on(now))
        })
    }
}

impl RegistryShared {
    /// Records that a runner of a service was reached.
    pub(super) fn record_contact(self: &Arc<Self>, service: &ServiceId, now: Instant) {
        let out_for = self.with_state(|state, grants| {
            let service = state.service(service);
            let out_for = service.reach.record_contact(now);
            if out_for.is_some() {
                self.assign_queued(service, grants, now);
            }
            out_for
        });
        if let Some(out_for) = out_for {
            let out_ms = out_for.as_millis() as u64;
            log::info!(service:% = service, out_ms = out_ms; "dispatch: a service is in reach again.");
        }
    }

    /// Records that another node did not reach a service either.
    pub(super) fn record_others_out(&self, service: &ServiceId, now: Instant) {
        self.with_state(|state, _| state.service(service).reach.record_others_out(now));
    }
}
