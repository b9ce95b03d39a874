//! Sums demand from several sources.

use {
    super::{ModelDemand, Variant},
    crate::traffic::ServiceId,
};

/// Demand summed by service and variant, sorted by both.
#[derive(Debug, Default)]
pub(super) struct DemandSum(pub(super) Vec<ModelDemand>);

impl DemandSum {
    pub(super) fn add(&mut self, service: &ServiceId, variant: &Variant, per_s: f64, waiting: u32) {
        let demand = self.entry(service, variant);
        demand.requests_per_s += per_s;
        demand.waiting += waiting;
    }

    /// Adds a request that waits for a free slot.
    pub(super) fn add_room_wait(&mut self, service: &ServiceId, variant: &Variant, priority: u8) {
        let known = &mut self.entry(service, variant).room_priority;
        *known = known.iter().copied().chain([priority]).min();
    }

    fn entry(&mut self, service: &ServiceId, variant: &Variant) -> &mut ModelDemand {
        let key = (service, &variant.model, variant.adapter.as_ref());
        let position = match self.0.binary_search_by(|known| known.key().cmp(&key)) {
            Ok(position) => position,
            Err(position) => {
                let demand = ModelDemand {
                    service: service.clone(),
                    model: variant.model.clone(),
                    adapter: variant.adapter.clone(),
                    requests_per_s: 0.0,
                    waiting: 0,
                    room_priority: None,
                };
                self.0.insert(position, demand);
                position
            }
        };
        &mut self.0[position]
    }
}
