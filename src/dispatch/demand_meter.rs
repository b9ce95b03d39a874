//! Measures the requests for each model and adapter, and the slots that become free.

use {
    super::{DecayingCount, Variant, peak_rate::PeakRate},
    crate::traffic::ModelId,
    tokio::time::Instant,
};

/// The rate below which a count is dropped.
const FORGOTTEN_PER_S: f64 = 0.01;

/// The lowest rate of freed slots from which a wait can be estimated.
const FREE_MIN_PER_S: f64 = 0.2;

/// The most counts kept of each kind.
const COUNTS_MAX: usize = 4_096;

/// The rates of requests for one service and of the slots that become free there.
#[derive(Debug, Default)]
pub(super) struct DemandMeter {
    variants: Vec<(Variant, DecayingCount)>,
    asked: Vec<((Option<ModelId>, u8), DecayingCount)>,
    freed: Vec<(Option<ModelId>, Freed)>,
}

/// The current and the recent peak rate of freed slots.
#[derive(Debug)]
struct Freed {
    count: DecayingCount,
    peak: PeakRate,
}

/// The rates of a model, or of a plain service, as they matter to requests of one priority.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ModelRates {
    /// Slots that become free.
    pub(super) free_per_s: f64,
    /// Requests of the priority and of more urgent ones.
    pub(super) asked_per_s: f64,
    /// Requests of more urgent priorities.
    pub(super) more_urgent_per_s: f64,
}

impl DemandMeter {
    /// Counts a request.
    pub(super) fn asked(&mut self, variant: Option<&Variant>, priority: u8, now: Instant) {
        if let Some(variant) = variant {
            let found = self
                .variants
                .binary_search_by(|(known, _)| known.cmp(variant));
            match found {
                Ok(at) => self.variants[at].1.add(now),
                Err(at) if self.variants.len() < COUNTS_MAX => {
                    self.variants.insert(at, (variant.clone(), one(now)));
                }
                Err(_) => {}
            }
        }
        let key = (variant.map(|variant| &variant.model), priority);
        let found = self
            .asked
            .binary_search_by(|((model, rank), _)| (model.as_ref(), *rank).cmp(&key));
        match found {
            Ok(at) => self.asked[at].1.add(now),
            Err(at) if self.asked.len() < COUNTS_MAX => {
                self.asked
                    .insert(at, ((key.0.cloned(), priority), one(now)));
            }
            Err(_) => {}
        }
    }

    /// Counts a slot that became free.
    pub(super) fn freed(&mut self, model: Option<&ModelId>, now: Instant) {
        let found = self
            .freed
            .binary_search_by(|(known, _)| known.as_ref().cmp(&model));
        match found {
            Ok(at) => {
                let freed = &mut self.freed[at].1;
                freed.count.add(now);
                freed.peak.see(freed.count.per_s(now), now);
            }
            Err(at) if self.freed.len() < COUNTS_MAX => {
                let freed = Freed {
                    count: one(now),
                    peak: PeakRate::new(now),
                };
                self.freed.insert(at, (model.cloned(), freed));
            }
            Err(_) => {}
        }
    }

    /// Returns the rates for a priority; `None` while too few slots become free.
    pub(super) fn rates_of(
        &self,
        model: Option<&ModelId>,
        priority: u8,
        now: Instant,
    ) -> Option<ModelRates> {
        let found = self
            .freed
            .binary_search_by(|(known, _)| known.as_ref().cmp(&model));
        let freed = &self.freed[found.ok()?].1;
        let (rate, peak) = (freed.count.per_s(now), freed.peak.per_s(now));
        let mut rates = ModelRates {
            free_per_s: (rate + peak.max(rate)) / 2.0,
            asked_per_s: 0.0,
            more_urgent_per_s: 0.0,
        };
        if rate < FREE_MIN_PER_S {
            return None;
        }
        for ((known, rank), count) in &self.asked {
            if known.as_ref() == model && *rank <= priority {
                rates.asked_per_s += count.per_s(now);
                if *rank < priority {
                    rates.more_urgent_per_s += count.per_s(now);
                }
            }
        }
        Some(rates)
    }

    /// Returns the requests per second for each variant.
    pub(super) fn variants(&self, now: Instant) -> impl Iterator<Item = (&Variant, f64)> {
        let variants = self.variants.iter();
        variants.map(move |(variant, count)| (variant, count.per_s(now)))
    }

    /// Drops counts whose rate has decayed.
    pub(super) fn forget_old(&mut self, now: Instant) {
        let counts = |count: &DecayingCount| count.per_s(now) >= FORGOTTEN_PER_S;
        self.variants.retain(|(_, count)| counts(count));
        self.asked.retain(|(_, count)| counts(count));
        self.freed
            .retain(|(_, freed)| freed.peak.per_s(now) >= FORGOTTEN_PER_S || counts(&freed.count));
    }
}

fn one(now: Instant) -> DecayingCount {
    let mut count = DecayingCount::new(now);
    count.add(now);
    count
}
