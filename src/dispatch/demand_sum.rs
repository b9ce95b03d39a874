//! Adds up demand from several places.

use {
    super::{ModelDemand, Variant},
    crate::traffic::ServiceId,
};

/// Demand summed up by service and variant, sorted.
#[derive(Debug, Default)]
pub(super) struct DemandSum(pub(super) Vec<ModelDemand>);

impl DemandSum {
    pub(super) fn add(&mut self, service: &ServiceId, variant: &Variant, per_s: f64, waiting: u32) {
        let key = (service, &variant.model, variant.adapter.as_ref());
        match self.0.binary_search_by(|known| known.key().cmp(&key)) {
            Ok(position) => {
                self.0[position].requests_per_s += per_s;
                self.0[position].waiting += waiting;
            }
            Err(position) => {
                let demand = ModelDemand {
                    service: service.clone(),
                    model: variant.model.clone(),
                    adapter: variant.adapter.clone(),
                    requests_per_s: per_s,
                    waiting,
                };
                self.0.insert(position, demand);
            }
        }
    }
}
