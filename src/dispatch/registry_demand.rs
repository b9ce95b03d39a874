//! The demand at this node and its peers.

use {
    super::{ModelDemand, Variant, demand_sum::DemandSum, registry_state::RegistryState},
    crate::traffic::NodeName,
    std::time::Duration,
    tokio::time::Instant,
};

/// How long a request waits for a free slot before it counts as demand for a further copy.
const COPY_DEMAND_WAIT_MS: u64 = 250;

/// How long a request waits for a free slot before less urgent ones at other nodes yield.
const YIELD_DEMAND_WAIT_MS: u64 = 50;

impl RegistryState {
    /// Returns the demand that arrives at this node.
    pub(super) fn own_demand(&self, now: Instant) -> Vec<ModelDemand> {
        let mut sum = DemandSum::default();
        for service in &self.services {
            for (variant, per_s) in service.demand.variant_rates(now) {
                sum.add(&service.name, variant, per_s, 0);
            }
            let copy_demand_wait = Duration::from_millis(COPY_DEMAND_WAIT_MS);
            for queued in service.queue.iter() {
                let needs_copy =
                    queued.waits_for_copy || now >= queued.queued_at + copy_demand_wait;
                let Some(variant) = &queued.profile.variant else {
                    continue;
                };
                if needs_copy {
                    sum.add(&service.name, variant, 0.0, 1);
                }
                let yield_demand_wait = Duration::from_millis(YIELD_DEMAND_WAIT_MS);
                let needs_room =
                    !queued.waits_for_copy && now >= queued.queued_at + yield_demand_wait;
                if needs_room && now < queued.profile.target_at {
                    sum.add_room_wait(&service.name, variant, queued.profile.priority);
                }
            }
        }
        sum.0
    }

    /// Returns the demand at all nodes.
    pub(super) fn demand(&self, now: Instant) -> Vec<ModelDemand> {
        let mut sum = DemandSum(self.own_demand(now));
        for demand in self.peer_demand.iter() {
            let variant = Variant {
                model: demand.model.clone(),
                adapter: demand.adapter.clone(),
            };
            let (per_s, waiting) = (demand.requests_per_s, demand.waiting);
            sum.add(&demand.service, &variant, per_s, waiting);
        }
        sum.0
    }

    /// Returns this node's demand that is due for a report: all, or where the waiting requests
    /// changed since the last report.
    pub(super) fn due_demand(&mut self, full: bool, now: Instant) -> Vec<ModelDemand> {
        let demand = self.own_demand(now);
        let reported = std::mem::take(&mut self.reported_waiting);
        let changed = |demand: &ModelDemand| {
            let found = reported.binary_search_by(|known| known.key().cmp(&demand.key()));
            let known = found.ok().map(|position| &reported[position]);
            demand.room_priority.is_some()
                || known.is_some_and(|known| known.room_priority.is_some())
                || known.map_or(0, |known| known.waiting) != demand.waiting
        };
        let due = demand.iter().filter(|demand| full || changed(demand));
        let due = due.cloned().collect();
        let waits = |demand: &ModelDemand| demand.waiting > 0 || demand.room_priority.is_some();
        self.reported_waiting = demand.into_iter().filter(waits).collect();
        due
    }

    /// Records a peer's demand; returns whether more requests wait there than before.
    pub(super) fn record_peer_demand(
        &mut self,
        node: &NodeName,
        demand: ModelDemand,
        now: Instant,
    ) -> bool {
        let service = self.service(&demand.service);
        service.urgent_waits.record(node, &demand, now);
        self.peer_demand.record(node, demand, now)
    }
}
