//! Builds the copies at a runner from its report.

use {
    super::{
        AdapterCopy, CopyState, ModelCopy, residents::loaded_copy,
        runner_record::ADAPTER_UNLOAD_TIME_MAX,
    },
    crate::{node::RunnerReport, traffic::ModelId},
    tokio::time::Instant,
};

/// Returns the copies that a report lists; previous copies keep their ages and usage.
///
/// `loading` is a model that is still being loaded though the report does not list it, `unloading`
/// one that is being unloaded though the report still lists it.
pub(super) fn copies_from_report(
    report: &RunnerReport,
    previous: Vec<ModelCopy>,
    loading: Option<&ModelId>,
    unloading: Option<&ModelId>,
    now: Instant,
) -> Vec<ModelCopy> {
    let mut models: Vec<ModelCopy> = Vec::with_capacity(report.models.len() + 1);
    for held in &report.models {
        let mut copy = loaded_copy(held, now);
        if let Some(before) = previous.iter().find(|before| before.model == copy.model) {
            carry_over_usage(&mut copy, before, now);
        }
        if unloading == Some(&copy.model) {
            copy.state = CopyState::Unloading;
        }
        models.push(copy);
    }
    if let Some(model) = loading
        && !models.iter().any(|copy| copy.model == *model)
    {
        let is_loading = |copy: &ModelCopy| copy.model == *model;
        models.extend(previous.into_iter().filter(is_loading));
    }
    models.sort_by(|a, b| a.model.cmp(&b.model));
    add_loading_adapters(&mut models, report, now);
    models
}

/// Copies the ages and the usage of a previous copy to the one from a report.
///
/// An adapter that requests keep from being unloaded is listed until these have ended.
fn carry_over_usage(copy: &mut ModelCopy, before: &ModelCopy, now: Instant) {
    copy.since = before.since;
    copy.in_flight = before.in_flight;
    for adapter in &mut copy.adapters {
        let mut previous = before.adapters.iter();
        if let Some(previous) = previous.find(|other| other.adapter == adapter.adapter) {
            adapter.used_at = previous.used_at;
            adapter.in_flight = previous.in_flight;
            let unused = now.duration_since(previous.used_at);
            if previous.state == CopyState::Unloading && unused < ADAPTER_UNLOAD_TIME_MAX {
                adapter.state = CopyState::Unloading;
            }
        }
    }
}

/// Adds the adapters that a report lists as being loaded.
fn add_loading_adapters(models: &mut [ModelCopy], report: &RunnerReport, now: Instant) {
    for (model, adapter) in &report.loading_adapters {
        let Ok(position) = models.binary_search_by(|copy| copy.model.cmp(model)) else {
            continue;
        };
        let adapters = &mut models[position].adapters;
        if adapters.iter().any(|other| other.adapter == *adapter) {
            continue;
        }
        let position = adapters.partition_point(|other| other.adapter < *adapter);
        let copy = AdapterCopy {
            adapter: adapter.clone(),
            state: CopyState::Loading,
            in_flight: 0,
            used_at: now,
        };
        adapters.insert(position, copy);
    }
}
