//! Counts the requests for each model and adapter.

use {
    super::{DecayingCount, Variant},
    crate::traffic::ModelId,
    tokio::time::Instant,
};

/// Below this rate a count is forgotten.
const FORGOTTEN_PER_S: f64 = 0.01;

/// Variants that are counted at most.
const VARIANTS_MAX: usize = 4_096;

/// The requests for the variants of one service, and the rate at which places come free.
#[derive(Debug, Default)]
pub(super) struct DemandMeter {
    asked: Vec<(Variant, DecayingCount)>,
    finished: Vec<(Option<ModelId>, DecayingCount)>,
}

impl DemandMeter {
    pub(super) fn asked(&mut self, variant: &Variant, now: Instant) {
        match self.asked.binary_search_by(|(known, _)| known.cmp(variant)) {
            Ok(position) => self.asked[position].1.add(now),
            Err(position) if self.asked.len() < VARIANTS_MAX => {
                let mut count = DecayingCount::new(now);
                count.add(now);
                self.asked.insert(position, (variant.clone(), count));
            }
            Err(_) => {}
        }
    }

    pub(super) fn finished(&mut self, model: Option<&ModelId>, now: Instant) {
        match self
            .finished
            .binary_search_by(|(known, _)| known.as_ref().cmp(&model))
        {
            Ok(position) => self.finished[position].1.add(now),
            Err(position) if self.finished.len() < VARIANTS_MAX => {
                let mut count = DecayingCount::new(now);
                count.add(now);
                self.finished.insert(position, (model.cloned(), count));
            }
            Err(_) => {}
        }
    }

    /// Returns how many requests a second end of late.
    pub(super) fn finishes_per_s(&self, model: Option<&ModelId>, now: Instant) -> f64 {
        let found = self
            .finished
            .binary_search_by(|(known, _)| known.as_ref().cmp(&model));
        found.map_or(0.0, |position| self.finished[position].1.per_s(now))
    }

    pub(super) fn rates(&self, now: Instant) -> impl Iterator<Item = (&Variant, f64)> {
        let rates = self.asked.iter();
        rates.map(move |(variant, count)| (variant, count.per_s(now)))
    }

    pub(super) fn forget_old(&mut self, now: Instant) {
        self.asked
            .retain(|(_, count)| count.per_s(now) >= FORGOTTEN_PER_S);
        self.finished
            .retain(|(_, count)| count.per_s(now) >= FORGOTTEN_PER_S);
    }
}
