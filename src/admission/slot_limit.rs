//! The adaptive concurrency limit of one model.

use {std::time::Duration, tokio::time::Instant};

/// The limit of a model whose capacity is unknown.
pub(super) const DEFAULT_SLOT_LIMIT: u32 = 64;
/// The factor by which a congested response lowers the limit.
const DECREASE_FACTOR: f64 = 0.9;
/// The shortest time between two decreases.
const DECREASE_INTERVAL_MIN_MS: u64 = 200;

/// A concurrency limit with additive increase and multiplicative decrease: the limit grows by
/// about one slot per round of uncongested responses and shrinks by a factor on congested ones.
#[derive(Debug)]
pub(super) struct SlotLimit {
    slots: f64,
    slots_max: f64,
    decreased_at: Option<Instant>,
}

impl SlotLimit {
    pub fn new(slots_max: u32) -> Self {
        let slots_max = f64::from(slots_max.max(1));
        Self {
            slots: slots_max,
            slots_max,
            decreased_at: None,
        }
    }

    pub fn slots(&self) -> f64 {
        self.slots
    }

    /// Changes the upper bound and scales the limit with it.
    pub fn set_max(&mut self, slots_max: u32) {
        let slots_max = f64::from(slots_max.max(1));
        let scaled = self.slots * slots_max / self.slots_max;
        self.slots = scaled.clamp(1.0, slots_max);
        self.slots_max = slots_max;
    }

    /// Raises the limit if the slots are in use.
    pub fn increase(&mut self, running: u32) {
        if f64::from(running) + 1.0 >= self.slots {
            self.slots = (self.slots + 1.0 / self.slots).min(self.slots_max);
        }
    }

    /// Lowers the limit, at most once per round of responses.
    pub fn decrease(&mut self, now: Instant, round: Duration) {
        let interval = round.max(Duration::from_millis(DECREASE_INTERVAL_MIN_MS));
        let recent = |then| now.saturating_duration_since(then) < interval;
        if self.decreased_at.is_some_and(recent) {
            return;
        }
        self.slots = (self.slots * DECREASE_FACTOR).max(1.0);
        self.decreased_at = Some(now);
    }
}
