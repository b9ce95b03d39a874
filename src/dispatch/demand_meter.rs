//! Measures the requests for each model and adapter, and the slots that become free.

use {
    super::{DecayingCount, Variant, peak_rate::PeakRate},
    crate::traffic::ModelId,
    tokio::time::Instant,
};

/// The rate below which a count is dropped.
const RATE_MIN_PER_S: f64 = 0.01;

/// The lowest rate of freed slots from which a wait can be estimated.
const FREED_RATE_MIN_PER_S: f64 = 0.2;

/// The most counts kept of each kind.
const COUNTERS_MAX: usize = 4_096;

/// The rates of requests for one service and of the slots that become free there.
#[derive(Debug, Default)]
pub(super) struct DemandMeter {
    variants: Vec<(Variant, DecayingCount)>,
    requested: Vec<((Option<ModelId>, u8), DecayingCount)>,
    freed: Vec<(Option<ModelId>, FreedSlots)>,
}

/// The current and the recent peak rate of freed slots.
#[derive(Debug)]
struct FreedSlots {
    count: DecayingCount,
    peak: PeakRate,
}

/// The rates of a model, or of a plain service, as they matter to requests of one priority.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ModelRates {
    /// Slots that become free.
    pub(super) freed_per_s: f64,
    /// Requests of the priority and of more urgent ones.
    pub(super) requested_per_s: f64,
    /// Requests of more urgent priorities.
    pub(super) more_urgent_per_s: f64,
}

impl DemandMeter {
    /// Counts a request.
    pub(super) fn record_request(&mut self, variant: Option<&Variant>, priority: u8, now: Instant) {
        if let Some(variant) = variant {
            let found = self
                .variants
                .binary_search_by(|(known, _)| known.cmp(variant));
            match found {
                Ok(position) => self.variants[position].1.add(now),
                Err(position) if self.variants.len() < COUNTERS_MAX => {
                    self.variants
                        .insert(position, (variant.clone(), single_event(now)));
                }
                Err(_) => {}
            }
        }
        let key = (variant.map(|variant| &variant.model), priority);
        let found = self
            .requested
            .binary_search_by(|((model, known_priority), _)| {
                (model.as_ref(), *known_priority).cmp(&key)
            });
        match found {
            Ok(position) => self.requested[position].1.add(now),
            Err(position) if self.requested.len() < COUNTERS_MAX => {
                self.requested
                    .insert(position, ((key.0.cloned(), priority), single_event(now)));
            }
            Err(_) => {}
        }
    }

    /// Counts a slot that became free.
    pub(super) fn record_freed_slot(&mut self, model: Option<&ModelId>, now: Instant) {
        let found = self
            .freed
            .binary_search_by(|(known, _)| known.as_ref().cmp(&model));
        match found {
            Ok(position) => {
                let freed = &mut self.freed[position].1;
                freed.count.add(now);
                freed.peak.update(freed.count.per_s(now), now);
            }
            Err(position) if self.freed.len() < COUNTERS_MAX => {
                let freed = FreedSlots {
                    count: single_event(now),
                    peak: PeakRate::new(now),
                };
                self.freed.insert(position, (model.cloned(), freed));
            }
            Err(_) => {}
        }
    }

    /// Returns the rates for a priority; `None` while too few slots become free.
    pub(super) fn rates_for(
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
            freed_per_s: (rate + peak.max(rate)) / 2.0,
            requested_per_s: 0.0,
            more_urgent_per_s: 0.0,
        };
        if rate < FREED_RATE_MIN_PER_S {
            return None;
        }
        for ((known, known_priority), count) in &self.requested {
            if known.as_ref() == model && *known_priority <= priority {
                rates.requested_per_s += count.per_s(now);
                if *known_priority < priority {
                    rates.more_urgent_per_s += count.per_s(now);
                }
            }
        }
        Some(rates)
    }

    /// Returns the requests per second for each variant.
    pub(super) fn variant_rates(&self, now: Instant) -> impl Iterator<Item = (&Variant, f64)> {
        let variants = self.variants.iter();
        variants.map(move |(variant, count)| (variant, count.per_s(now)))
    }

    /// Drops counts whose rate has decayed.
    pub(super) fn remove_decayed(&mut self, now: Instant) {
        let is_recent = |count: &DecayingCount| count.per_s(now) >= RATE_MIN_PER_S;
        self.variants.retain(|(_, count)| is_recent(count));
        self.requested.retain(|(_, count)| is_recent(count));
        self.freed.retain(|(_, freed)| {
            freed.peak.per_s(now) >= RATE_MIN_PER_S || is_recent(&freed.count)
        });
    }
}

fn single_event(now: Instant) -> DecayingCount {
    let mut count = DecayingCount::new(now);
    count.add(now);
    count
}
