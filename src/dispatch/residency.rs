//! Loads and drops of models that a runner's entry does not show yet.

use {
    super::Variant,
    crate::{
        discovery::{ResidentModel, RunnerEntry},
        traffic::{AdapterId, ModelId},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// How long a change counts if the entry never shows it.
const CHANGE_TTL_MS: u64 = 5_000;

/// The maximum age of an entry on arrival; the entry outdates changes recorded before that age.
const ENTRY_AGE_MAX_MS: u64 = 2_500;

/// A load or drop that no entry confirmed yet.
#[derive(Debug)]
struct PendingChange {
    variant: Variant,
    held: bool,
    recorded_at: Instant,
}

/// The loads and drops at one runner that the runner's entry does not show yet.
#[derive(Debug, Default)]
pub struct ResidencyOverlay {
    changes: Vec<PendingChange>,
}

impl ResidencyOverlay {
    /// Records a change, which replaces an earlier one of the same model or adapter.
    pub fn record(&mut self, variant: &Variant, held: bool, now: Instant) {
        let drops_model = variant.adapter.is_none() && !held;
        self.changes.retain(|change| {
            let is_covered = drops_model && change.variant.model == variant.model;
            change.variant != *variant && !is_covered
        });
        self.changes.push(PendingChange {
            variant: variant.clone(),
            held,
            recorded_at: now,
        });
    }

    /// Removes the changes that a new entry shows, or that are older than the entry.
    pub fn remove_confirmed(&mut self, entry: &RunnerEntry, now: Instant) {
        let entry_age_max = Duration::from_millis(ENTRY_AGE_MAX_MS);
        self.changes.retain(|change| {
            let is_shown = entry.holds(&change.variant) == change.held;
            !is_shown && now < change.recorded_at + entry_age_max
        });
    }

    /// Returns whether a change of a model or adapter is not confirmed by an entry yet.
    pub fn is_pending(&self, variant: &Variant) -> bool {
        self.changes.iter().any(|change| change.variant == *variant)
    }

    /// Removes changes that are too old; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let count_before = self.changes.len();
        let ttl = Duration::from_millis(CHANGE_TTL_MS);
        self.changes.retain(|change| now < change.recorded_at + ttl);
        self.changes.len() != count_before
    }

    /// Returns an entry with the changes applied.
    pub fn apply(&self, base: &Arc<RunnerEntry>) -> Arc<RunnerEntry> {
        if self.changes.is_empty() {
            return base.clone();
        }
        let mut entry = RunnerEntry::clone(base);
        for change in &self.changes {
            match (&change.variant.adapter, change.held) {
                (None, true) => add_model(&mut entry.models, &change.variant.model),
                (None, false) => entry
                    .models
                    .retain(|held| held.model != change.variant.model),
                (Some(adapter), held) => {
                    set_adapter(&mut entry.models, &change.variant.model, adapter, held);
                }
            }
        }
        Arc::new(entry)
    }
}

fn add_model(models: &mut Vec<ResidentModel>, model: &ModelId) {
    if let Err(position) = models.binary_search_by(|held| held.model.cmp(model)) {
        let resident = ResidentModel {
            model: model.clone(),
            version: 0,
            adapters: Vec::new(),
        };
        models.insert(position, resident);
    }
}

fn set_adapter(models: &mut [ResidentModel], model: &ModelId, adapter: &AdapterId, held: bool) {
    let Ok(position) = models.binary_search_by(|known| known.model.cmp(model)) else {
        return;
    };
    let adapters = &mut models[position].adapters;
    match (adapters.binary_search(adapter), held) {
        (Ok(position), false) => drop(adapters.remove(position)),
        (Err(position), true) => adapters.insert(position, adapter.clone()),
        _ => {}
    }
}
