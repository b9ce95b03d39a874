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
const NOTE_MS: u64 = 5_000;

/// The maximum age of an entry on arrival; the entry outdates changes recorded before that age.
const ENTRY_AGE_MS: u64 = 2_500;

#[derive(Debug)]
struct PendingNote {
    variant: Variant,
    held: bool,
    noted_at: Instant,
}

/// The loads and drops at one runner that the runner's entry does not show yet.
#[derive(Debug, Default)]
pub struct ResidencyOverlay {
    notes: Vec<PendingNote>,
}

impl ResidencyOverlay {
    /// Records a change, which replaces an earlier one of the same model or adapter.
    pub fn note(&mut self, variant: &Variant, held: bool, now: Instant) {
        let whole_model_goes = variant.adapter.is_none() && !held;
        self.notes.retain(|note| {
            let covered = whole_model_goes && note.variant.model == variant.model;
            note.variant != *variant && !covered
        });
        self.notes.push(PendingNote {
            variant: variant.clone(),
            held,
            noted_at: now,
        });
    }

    /// Removes the changes that a new entry shows, or that are older than the entry.
    pub fn settle(&mut self, entry: &RunnerEntry, now: Instant) {
        let age = Duration::from_millis(ENTRY_AGE_MS);
        self.notes.retain(|note| {
            let shown = entry.holds(&note.variant) == note.held;
            !shown && now < note.noted_at + age
        });
    }

    /// Returns whether a change of a model or adapter is not confirmed by an entry yet.
    pub fn is_pending(&self, variant: &Variant) -> bool {
        self.notes.iter().any(|note| note.variant == *variant)
    }

    /// Removes changes that are too old; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.notes.len();
        let kept = Duration::from_millis(NOTE_MS);
        self.notes.retain(|note| now < note.noted_at + kept);
        self.notes.len() != before
    }

    /// Returns an entry with the changes applied.
    pub fn apply(&self, base: &Arc<RunnerEntry>) -> Arc<RunnerEntry> {
        if self.notes.is_empty() {
            return base.clone();
        }
        let mut entry = RunnerEntry::clone(base);
        for note in &self.notes {
            match (&note.variant.adapter, note.held) {
                (None, true) => add_model(&mut entry.models, &note.variant.model),
                (None, false) => entry.models.retain(|held| held.model != note.variant.model),
                (Some(adapter), held) => {
                    set_adapter(&mut entry.models, &note.variant.model, adapter, held);
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
