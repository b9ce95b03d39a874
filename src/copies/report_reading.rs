//! Takes over what a runner reports that it holds.

use {
    super::{AdapterCopy, CopyState, ModelCopy, residents::held_copy},
    crate::{node::RunnerReport, traffic::ModelId},
    tokio::time::Instant,
};

/// Returns the copies that a report lists, with the ages of those that were known.
///
/// `coming` is a model that is still on its way though the report does not list it, `going` one
/// that is leaving though the report still lists it.
pub(super) fn rebuild_models(
    report: &RunnerReport,
    known: Vec<ModelCopy>,
    coming: Option<&ModelId>,
    going: Option<&ModelId>,
    now: Instant,
) -> Vec<ModelCopy> {
    let mut models: Vec<ModelCopy> = Vec::with_capacity(report.models.len() + 1);
    for held in &report.models {
        let mut copy = held_copy(held, now);
        if let Some(before) = known.iter().find(|before| before.model == copy.model) {
            keep_ages(&mut copy, before);
        }
        if going == Some(&copy.model) {
            copy.state = CopyState::Going;
        }
        models.push(copy);
    }
    if let Some(model) = coming
        && !models.iter().any(|copy| copy.model == *model)
    {
        let is_it = |copy: &ModelCopy| copy.model == *model;
        models.extend(known.into_iter().filter(is_it));
    }
    models.sort_by(|a, b| a.model.cmp(&b.model));
    add_coming_adapters(&mut models, report, now);
    models
}

fn keep_ages(copy: &mut ModelCopy, before: &ModelCopy) {
    copy.since = before.since;
    copy.in_flight = before.in_flight;
    for adapter in &mut copy.adapters {
        let mut known = before.adapters.iter();
        if let Some(known) = known.find(|known| known.adapter == adapter.adapter) {
            adapter.used_at = known.used_at;
            adapter.in_flight = known.in_flight;
        }
    }
}

fn add_coming_adapters(models: &mut [ModelCopy], report: &RunnerReport, now: Instant) {
    for (model, adapter) in &report.loading_adapters {
        let Ok(position) = models.binary_search_by(|copy| copy.model.cmp(model)) else {
            continue;
        };
        let adapters = &mut models[position].adapters;
        if adapters.iter().any(|known| known.adapter == *adapter) {
            continue;
        }
        let place = adapters.partition_point(|known| known.adapter < *adapter);
        let copy = AdapterCopy {
            adapter: adapter.clone(),
            state: CopyState::Coming,
            in_flight: 0,
            used_at: now,
        };
        adapters.insert(place, copy);
    }
}
