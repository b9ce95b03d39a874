//! Metrics of the demand for models.

use crate::{
    dispatch::ModelDemand,
    telemetry::MetricText,
    traffic::{ModelId, ServiceId},
};

/// The demand for a model and all of its adapters.
struct ModelDemandSum<'a> {
    model: (&'a ServiceId, &'a ModelId),
    requests_per_s: f64,
    waiting: u32,
}

/// Adds gauges of the demand over all nodes, by model, to a metrics text.
pub fn render_demand(demand: &[ModelDemand], text: &mut MetricText) {
    let sums = sum_by_model(demand);
    let name = "ggt_model_requests_per_second";
    text.begin(name, "gauge", "Requests for a model at all nodes.");
    for sum in &sums {
        text.value(name, &sum.labels(), sum.requests_per_s);
    }
    let name = "ggt_model_waiting_requests";
    let help = "Requests that wait for a copy of a model at all nodes.";
    text.begin(name, "gauge", help);
    for sum in &sums {
        text.value(name, &sum.labels(), f64::from(sum.waiting));
    }
}

fn sum_by_model(demand: &[ModelDemand]) -> Vec<ModelDemandSum<'_>> {
    let mut sums: Vec<ModelDemandSum<'_>> = Vec::new();
    for demand in demand {
        let model = (&demand.service, &demand.model);
        match sums.binary_search_by(|sum| sum.model.cmp(&model)) {
            Ok(position) => {
                sums[position].requests_per_s += demand.requests_per_s;
                sums[position].waiting += demand.waiting;
            }
            Err(position) => sums.insert(
                position,
                ModelDemandSum {
                    model,
                    requests_per_s: demand.requests_per_s,
                    waiting: demand.waiting,
                },
            ),
        }
    }
    sums
}

impl ModelDemandSum<'_> {
    fn labels(&self) -> [(&str, &str); 2] {
        let (service, model) = self.model;
        [("service", service.as_str()), ("model", model.as_str())]
    }
}
