//! The runners of one service, and the requests queued for them.

use {
    super::{
        TryOutcome, Variant, cost_ms,
        demand_meter::DemandMeter,
        pace_budget::PaceBudget,
        runner_slot::RunnerSlot,
        urgent_waits::UrgentWaits,
        wait_queue::{Ask, WaitQueue},
    },
    crate::{
        discovery::RunnerKey,
        traffic::{ModelId, ServiceId, ZoneId},
    },
    rand::RngExt,
    std::time::Duration,
    tokio::time::Instant,
};

/// The weight of the newest sample in a moving average.
const NEWEST_WEIGHT: f64 = 0.05;

/// The largest cost of prefix affinity, or of a random choice for prompts without parts.
const AFFINITY_MS: f64 = 4.0;

/// The random cost that spreads requests over runners of nearly equal cost.
const EQUAL_MS: f64 = 1.0;

/// How long a request yields a runner to others before its next attempt.
const YIELD: Duration = Duration::from_millis(20);

/// The runners of one service, its queue, and its measured rates and times.
#[derive(Debug)]
pub(super) struct ServiceRunners {
    pub(super) name: ServiceId,
    pub(super) slots: Vec<RunnerSlot>,
    pub(super) queue: WaitQueue,
    pub(super) demand: DemandMeter,
    pub(super) pace_budget: PaceBudget,
    pub(super) urgent_waits: UrgentWaits,
    mean_times: Vec<(Option<ModelId>, f64)>,
    answer_time_s: f64,
}

/// The result of the search for a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Chosen {
    /// The position of a runner with room.
    Runner(usize),
    /// Runners hold the variant but have no free slot; one may have at the instant.
    Full(Option<Instant>),
    /// No runner holds the variant.
    NoCopy,
}

impl ServiceRunners {
    pub(super) fn new(name: ServiceId) -> Self {
        Self {
            name,
            slots: Vec::new(),
            queue: WaitQueue::default(),
            demand: DemandMeter::default(),
            pace_budget: PaceBudget::default(),
            urgent_waits: UrgentWaits::default(),
            mean_times: Vec::new(),
            answer_time_s: 0.0,
        }
    }

    pub(super) fn position(&self, key: &RunnerKey) -> Result<usize, usize> {
        self.slots.binary_search_by(|slot| slot.entry.key.cmp(key))
    }

    pub(super) fn slot(&mut self, key: &RunnerKey) -> Option<&mut RunnerSlot> {
        let position = self.position(key).ok()?;
        Some(&mut self.slots[position])
    }

    /// Chooses the runner with the lowest cost for a request.
    ///
    /// Runners that were tried already are chosen only if no other one holds the variant.
    pub(super) fn choose(&self, ask: &Ask, zone: &ZoneId, now: Instant) -> Chosen {
        let first = self.choose_among(ask, false, zone, now);
        if first == Chosen::NoCopy && !ask.tried.is_empty() {
            return self.choose_among(ask, true, zone, now);
        }
        first
    }

    fn choose_among(&self, ask: &Ask, tried: bool, zone: &ZoneId, now: Instant) -> Chosen {
        let ahead = self.urgent_waits.before(ask.priority, now);
        let mut best: Option<(usize, f64)> = None;
        let mut any_copy = false;
        let mut retry_at: Option<Instant> = None;
        let mut rng = rand::rng();
        for (position, slot) in self.slots.iter().enumerate() {
            let fits = slot.is_ready(now)
                && slot.holds(ask.variant.as_ref())
                && ask.tried.contains(&slot.entry.key) == tried;
            if !fits {
                continue;
            }
            any_copy = true;
            if !slot.health.admits(now) {
                let until = slot.health.out_until(now);
                retry_at = retry_at.into_iter().chain(until).min();
                continue;
            }
            if ahead.iter().any(|variant| slot.holds(Some(*variant))) {
                retry_at = retry_at.into_iter().chain([now + YIELD]).min();
                continue;
            }
            let mut candidate = slot.candidate(ask, zone, now);
            let Some(cost) = cost_ms(&ask.need, &candidate) else {
                candidate.paced_tokens = 0;
                if cost_ms(&ask.need, &candidate).is_some() {
                    retry_at = retry_at.into_iter().chain([now + YIELD]).min();
                }
                continue;
            };
            let affinity_ms = match ask.chain.first_hash() {
                Some(hash) => slot.affinity(hash) * AFFINITY_MS,
                None => rng.random_range(0.0..AFFINITY_MS),
            };
            let cost = cost + affinity_ms + rng.random_range(0.0..EQUAL_MS);
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((position, cost));
            }
        }
        match best {
            Some((position, _)) => Chosen::Runner(position),
            None if any_copy => Chosen::Full(retry_at),
            None => Chosen::NoCopy,
        }
    }

    /// Returns whether a ready runner holds a model.
    pub(super) fn has_copy(&self, model: &ModelId, now: Instant) -> bool {
        let variant = Variant {
            model: model.clone(),
            adapter: None,
        };
        let mut slots = self.slots.iter();
        slots.any(|slot| slot.is_ready(now) && slot.entry.holds(&variant))
    }

    /// Records the outcome of an attempt; `time` is the answer time in seconds, per token for
    /// generations.
    pub(super) fn ended(
        &mut self,
        key: &RunnerKey,
        variant: Option<&Variant>,
        outcome: TryOutcome,
        time: Option<f64>,
        now: Instant,
    ) {
        let ratio = time.map(|time| self.time_ratio(variant.map(|v| &v.model), time));
        let failure_rate = self.failure_rate();
        let out = self.slots.iter().filter(|slot| !slot.health.admits(now));
        let may_eject = (out.count() + 1) * 3 <= self.slots.len();
        let Some(slot) = self.slot(key) else {
            return;
        };
        if let Some(ratio) = ratio {
            slot.health.timed(ratio, now);
        }
        let not_ready_yet = outcome == TryOutcome::Shed && slot.is_unconfirmed(variant);
        if !not_ready_yet {
            slot.health.ended(outcome, failure_rate, may_eject, now);
        }
        if let (TryOutcome::Absent, Some(variant)) = (outcome, variant) {
            slot.note(variant, false, now);
        }
    }

    /// Records the time from an assignment to the first event of the answer.
    pub(super) fn answered_after(&mut self, time: Duration) {
        self.answer_time_s += (time.as_secs_f64() - self.answer_time_s) * NEWEST_WEIGHT;
    }

    /// Returns when the first event is expected for a request that is assigned now.
    pub(super) fn answer_at(&self, now: Instant) -> Instant {
        now + Duration::from_secs_f64(self.answer_time_s)
    }

    fn failure_rate(&self) -> f64 {
        let rates = self.slots.iter().map(|slot| slot.health.failure_rate());
        rates.sum::<f64>() / self.slots.len().max(1) as f64
    }

    /// Returns a time relative to the mean of its model, and updates the mean.
    fn time_ratio(&mut self, model: Option<&ModelId>, time: f64) -> f64 {
        let times = &mut self.mean_times;
        match times.binary_search_by(|(known, _)| known.as_ref().cmp(&model)) {
            Ok(position) => {
                let mean = &mut times[position].1;
                let ratio = time / mean.max(f64::MIN_POSITIVE);
                *mean += (time - *mean) * NEWEST_WEIGHT;
                ratio
            }
            Err(position) => {
                times.insert(position, (model.cloned(), time));
                1.0
            }
        }
    }
}
