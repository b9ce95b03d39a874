//! The allowance of a workspace that a node holds, and when it asks for more.

use {super::SPARE_TTL, std::time::Duration, tokio::time::Instant};

/// How long the allowance for a request that was asked for may be used, from when it was asked for.
pub const ANSWER_TTL: Duration = Duration::from_millis(300);

/// The time over which the demand is averaged.
const DEMAND_SPAN_S: f64 = 2.0;

/// How long what a home told about the demand is used.
const SYSTEM_DEMAND_TTL: Duration = Duration::from_secs(3);

/// The time for which spare allowance is wanted.
const SPARE_S: f64 = 0.7;

/// The shortest and longest time for which a node does not ask again after all homes denied.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(30), Duration::from_millis(200));

/// What a node does about the allowance of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpendDecision {
    /// The node held enough, usable until the instant, and spent it; more is asked for if `Some`.
    Spent(Instant, Option<u64>),
    /// The homes are asked for the amount of the request and up to this much.
    Ask(u64),
    /// The homes denied lately; the amount is expected after this time.
    Refuse(Duration),
}

/// The allowance of one workspace at one node.
///
/// Load: steady requests of large workspaces, which should not wait for an answer of a home each;
/// and a workspace at several times its quota, whose refusals must not cost three messages each.
#[derive(Debug)]
pub struct LeasedAllowance {
    /// The allowance with when it ends.
    held: Vec<(Instant, u64)>,
    /// The amounts of requests, fading over [`DEMAND_SPAN_S`].
    demand: f64,
    demand_at: Instant,
    is_refilling: bool,
    /// The amount that all homes denied, with until when as much is not asked for.
    denied: Option<(u64, Instant)>,
    expected_at: Option<Instant>,
    /// The demand at all nodes relative to the quota, with when a home told it.
    system_demand: Option<(f64, Instant)>,
}

impl LeasedAllowance {
    /// Creates the state of a node that holds nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            held: Vec::new(),
            demand: 0.0,
            demand_at: now,
            is_refilling: false,
            denied: None,
            expected_at: None,
            system_demand: None,
        }
    }

    /// Decides about a request that counts `amount`.
    pub fn spend(&mut self, amount: u64, now: Instant) -> SpendDecision {
        self.count_demand(amount, now);
        self.held.retain(|(end, _)| now < *end);
        if let Some(end) = self.use_held(amount) {
            let refill = self.refill();
            self.is_refilling |= refill.is_some();
            return SpendDecision::Spent(end, refill);
        }
        let is_denied = |(denied, until): (u64, Instant)| amount >= denied && now < until;
        if self.denied.is_some_and(is_denied) {
            let expected = self.expected_at.unwrap_or(now);
            return SpendDecision::Refuse(expected.saturating_duration_since(now));
        }
        SpendDecision::Ask(amount.saturating_add(self.wanted_spare()))
    }

    /// Records a grant that was asked for at `asked_at`, of which `used` was spent at once.
    ///
    /// A part that came too late for its request is kept for a short time only.
    pub fn credit(&mut self, granted: u64, least: u64, used: u64, asked_at: Instant) {
        let spare = granted.saturating_sub(least);
        let unused = granted.saturating_sub(spare).saturating_sub(used);
        let parts = [(SPARE_TTL, spare), (ANSWER_TTL, unused)];
        let parts = parts.into_iter().filter(|(_, amount)| *amount > 0);
        self.held
            .extend(parts.map(|(ttl, amount)| (asked_at + ttl, amount)));
        self.denied = None;
    }

    /// Records the end of a request for spare allowance.
    pub fn end_refill(&mut self) {
        self.is_refilling = false;
    }

    /// Records that no home granted `amount`, which is expected after `wait`.
    pub fn record_denied(&mut self, amount: u64, wait: Duration, now: Instant) {
        let until = now + wait.clamp(BACK_OFF.0, BACK_OFF.1);
        self.denied = Some((amount, until));
        self.expected_at = Some(now + wait);
    }

    /// Records the demand at all nodes, as a home told it.
    pub fn record_system_demand(&mut self, permille: u32, now: Instant) {
        self.system_demand = Some((f64::from(permille) / 1_000.0, now));
    }

    /// Returns the demand at all nodes relative to the quota, if a home told it lately.
    pub fn system_demand(&self, now: Instant) -> Option<f64> {
        let (demand, at) = self.system_demand?;
        (now < at + SYSTEM_DEMAND_TTL).then_some(demand)
    }

    /// Takes back what a request did not use; it ends when it would have ended.
    pub fn give_back(&mut self, amount: u64, end: Instant) {
        self.held.push((end, amount));
    }

    /// Uses held allowance that ends first; returns when the last used part ends.
    fn use_held(&mut self, amount: u64) -> Option<Instant> {
        let total: u64 = self.held.iter().map(|(_, held)| held).sum();
        if total < amount {
            return None;
        }
        self.held.sort_unstable();
        let (mut left, mut first_end) = (amount, None);
        for (end, held) in &mut self.held {
            let used = left.min(*held);
            *held -= used;
            left -= used;
            first_end = first_end.or(Some(*end));
        }
        self.held.retain(|(_, held)| *held > 0);
        first_end
    }

    /// Returns the spare allowance to ask for, if little is held.
    fn refill(&self) -> Option<u64> {
        let wanted = self.wanted_spare();
        let held: u64 = self.held.iter().map(|(_, held)| held).sum();
        (!self.is_refilling && held < wanted / 2).then(|| wanted - held)
    }

    fn wanted_spare(&self) -> u64 {
        (self.demand / DEMAND_SPAN_S * SPARE_S) as u64
    }

    fn count_demand(&mut self, amount: u64, now: Instant) {
        let age = now.saturating_duration_since(self.demand_at);
        self.demand *= (-age.as_secs_f64() / DEMAND_SPAN_S).exp();
        self.demand += amount as f64;
        self.demand_at = now;
    }
}
