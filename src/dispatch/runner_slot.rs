//! One runner with its load, health and caches as this node sees it.

use {
    super::{
        Candidate, NodeLoad, PrefixRecord, RequestLoad, ResidencyOverlay, RunnerHash, RunnerHealth,
        RunnerView, TotalLoad, Variant,
        peer_loads::PeerLoads,
        prompt_pace::{DrawnShare, PromptPace},
        wait_queue::Ask,
    },
    crate::{
        discovery::{RunnerEntry, RunnerState},
        traffic::{AdapterId, ModelId, NodeName, ZoneId},
    },
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
        time::Duration,
    },
    tokio::time::Instant,
};

/// The gossip rounds in which a changed load is reported.
const TOLD_ROUNDS: u8 = 3;

/// The maximum age of this node's list of runners.
const LIST_AGE_MS: u64 = 2_500;

/// How long a peer's report that a runner is leaving counts if no list arrives.
const LEAVING_MS: u64 = 60_000;

/// How long summed requests by variant count without another report.
const SUMMED_USE_MS: u64 = 2_000;

#[derive(Debug, Default)]
struct SummedUse {
    in_use: Vec<(Variant, u32)>,
    until: Option<Instant>,
}

/// A runner with its load, health and caches as this node sees it.
#[derive(Debug)]
pub(super) struct RunnerSlot {
    /// The entry as listed by the platform.
    base: Arc<RunnerEntry>,
    /// The listed entry with the pending residency changes applied.
    pub(super) entry: Arc<RunnerEntry>,
    pub(super) listed: bool,
    /// Whether the list that is being applied contains the runner.
    pub(super) seen: bool,
    pub(super) health: RunnerHealth,
    pub(super) own: NodeLoad,
    overlay: ResidencyOverlay,
    peers: PeerLoads,
    /// The requests of all other nodes by variant, where an aggregator reports them.
    summed_use: SummedUse,
    pub(super) short: RunnerHash,
    total: TotalLoad,
    prefixes: PrefixRecord,
    pace: PromptPace,
    unheard_share: DrawnShare,
    cold_until: Instant,
    leaving_heard_at: Option<Instant>,
    untold_rounds: u8,
    key_hash: u64,
}

impl RunnerSlot {
    pub(super) fn new(entry: RunnerEntry, now: Instant) -> Self {
        let mut hasher = DefaultHasher::new();
        entry.key.hash(&mut hasher);
        let cold_until = now + Duration::from_millis(entry.cold_remaining_ms);
        let short = RunnerHash::of(&entry.key);
        let base = Arc::new(entry);
        Self {
            entry: base.clone(),
            base,
            listed: true,
            seen: true,
            health: RunnerHealth::default(),
            own: NodeLoad::default(),
            overlay: ResidencyOverlay::default(),
            peers: PeerLoads::default(),
            summed_use: SummedUse::default(),
            short,
            total: TotalLoad::default(),
            prefixes: PrefixRecord::default(),
            pace: PromptPace::default(),
            unheard_share: DrawnShare::new(now),
            cold_until,
            leaving_heard_at: None,
            untold_rounds: 0,
            key_hash: hasher.finish(),
        }
    }

    /// Applies a newer entry; returns whether the runner begins to leave with this entry.
    pub(super) fn update(&mut self, entry: RunnerEntry, now: Instant) -> bool {
        self.seen = true;
        let list_age = Duration::from_millis(LIST_AGE_MS);
        let is_newer = self.leaving_heard_at.is_some_and(|at| now >= at + list_age);
        if !self.listed || is_newer {
            self.leaving_heard_at = None;
        }
        self.listed = true;
        if *self.base == entry {
            return false;
        }
        let leaves = entry.state != RunnerState::Ready && self.base.state == RunnerState::Ready;
        self.cold_until = now + Duration::from_millis(entry.cold_remaining_ms);
        self.base = Arc::new(entry);
        self.overlay.settle(&self.base, now);
        self.entry = self.overlay.apply(&self.base);
        leaves
    }

    pub(super) fn note(&mut self, variant: &Variant, held: bool, now: Instant) {
        if self.entry.holds(variant) == held {
            return;
        }
        self.overlay.note(variant, held, now);
        self.overlay.settle(&self.base, now);
        self.entry = self.overlay.apply(&self.base);
        if !held {
            self.prefixes.clear();
        }
    }

    /// Records a peer's report that the runner is leaving.
    ///
    /// The report counts until this node's own list is newer for certain.
    pub(super) fn leaves(&mut self, now: Instant) {
        self.leaving_heard_at = Some(now);
    }

    /// Returns whether the runner may be assigned requests.
    pub(super) fn is_ready(&self, now: Instant) -> bool {
        let leaving = Duration::from_millis(LEAVING_MS);
        self.listed
            && self.entry.state == RunnerState::Ready
            && self.leaving_heard_at.is_none_or(|at| now >= at + leaving)
    }

    /// Returns whether a model or adapter is known from a residency change only, not from an entry.
    pub(super) fn is_unconfirmed(&self, variant: Option<&Variant>) -> bool {
        variant.is_some_and(|variant| self.overlay.is_pending(variant))
    }

    pub(super) fn holds(&self, variant: Option<&Variant>) -> bool {
        variant.is_none_or(|variant| self.entry.holds(variant))
    }

    pub(super) fn candidate(&self, ask: &Ask, zone: &ZoneId, now: Instant) -> Candidate {
        let own_tokens = self.own.prefill_tokens.max(self.pace.tokens(now));
        let kept_tokens = u64::from(self.prefixes.kept_tokens(&ask.chain));
        let unread = ask.need.prompt_tokens.saturating_sub(kept_tokens);
        Candidate {
            slots: self.entry.slots,
            own_requests: self.own.requests,
            total: self.total,
            paced_tokens: own_tokens
                + self.peers.prompt_tokens(now)
                + self.unheard_tokens(unread, now),
            kept_tokens,
            same_zone: self.entry.zone == *zone,
            cold: now < self.cold_until,
            slowness: self.health.slowness(now),
        }
    }

    /// Draws the prompt tokens that peers may send before their next report.
    ///
    /// Each peer may have a prompt of the same size and see the same free capacity. With a random
    /// share, some nodes send now and the others see their prompts in the next report.
    fn unheard_tokens(&self, unread: u64, now: Instant) -> u64 {
        let most = self.peers.count() as f64 * unread as f64;
        (self.unheard_share.at(now) * most) as u64
    }

    /// Returns a number from 0 to 1 that all nodes compute alike for the runner and a prompt part.
    pub(super) fn affinity(&self, first_hash: u64) -> f64 {
        let mixed = (self.key_hash ^ first_hash).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed >> 40) as f64 / (1_u64 << 24) as f64
    }

    /// Adds a request's load and records its prompt in the estimated prefix cache.
    pub(super) fn reserve(&mut self, ask: &Ask, now: Instant) -> RequestLoad {
        let kept = u64::from(self.prefixes.kept_tokens(&ask.chain));
        let load = RequestLoad {
            variant: ask.variant.clone(),
            kv_tokens: ask.need.kv_tokens,
            prefill_tokens: ask.need.prompt_tokens.saturating_sub(kept),
        };
        self.own.add(&load);
        self.pace.send(load.prefill_tokens, now);
        if let Some(capacity) = ask.need.kv_capacity_tokens {
            self.prefixes.read(&ask.chain, capacity / 2);
        }
        self.health.started();
        self.load_changed();
        load
    }

    pub(super) fn prompt_read(&mut self, load: &mut RequestLoad) {
        self.own.prompt_read(load);
        self.load_changed();
    }

    pub(super) fn release(&mut self, load: &RequestLoad) {
        self.own.remove(load);
        self.load_changed();
    }

    pub(super) fn peer_load(&mut self, node: &NodeName, load: NodeLoad, now: Instant) {
        self.peers.hear(node, load, now);
        self.sum_up();
    }

    /// Extends the validity of a peer's load that was received within `told_within`.
    pub(super) fn renew(&mut self, node: &NodeName, told_within: Duration, now: Instant) {
        self.peers.renew(node, told_within, now);
    }

    pub(super) fn hear_use(&mut self, in_use: Vec<(Variant, u32)>, now: Instant) {
        self.summed_use = SummedUse {
            in_use,
            until: Some(now + Duration::from_millis(SUMMED_USE_MS)),
        };
    }

    /// Drops peer loads, residency changes and summed usage that are too old.
    pub(super) fn expire(&mut self, now: Instant) {
        if self.peers.expire(now) {
            self.sum_up();
        }
        if self.overlay.expire(now) {
            self.entry = self.overlay.apply(&self.base);
        }
        if self.summed_use.until.is_some_and(|until| now >= until) {
            self.summed_use = SummedUse::default();
        }
    }

    /// Returns this node's load if a report of it is due.
    pub(super) fn untold_load(&mut self, all: bool, now: Instant) -> Option<NodeLoad> {
        let due = self.untold_rounds > 0 || (all && self.own.requests > 0);
        self.untold_rounds = self.untold_rounds.saturating_sub(1);
        due.then(|| NodeLoad {
            recent_tokens: self.pace.tokens(now),
            ..self.own.clone()
        })
    }

    pub(super) fn view(&self) -> RunnerView {
        let mut in_use: Vec<(ModelId, Option<AdapterId>, u32)> = Vec::new();
        for (variant, count) in self.all_in_use() {
            let key = (&variant.model, &variant.adapter);
            match in_use.binary_search_by(|(model, adapter, _)| (model, adapter).cmp(&key)) {
                Ok(position) => in_use[position].2 += count,
                Err(position) => {
                    let used = (variant.model.clone(), variant.adapter.clone(), *count);
                    in_use.insert(position, used);
                }
            }
        }
        RunnerView {
            entry: RunnerEntry::clone(&self.entry),
            in_flight: self.total.requests,
            in_use,
        }
    }

    fn all_in_use(&self) -> impl Iterator<Item = &(Variant, u32)> {
        let others = self.peers.in_use().chain(&self.summed_use.in_use);
        self.own.in_use.iter().chain(others)
    }

    fn load_changed(&mut self) {
        self.untold_rounds = TOLD_ROUNDS;
        self.sum_up();
    }

    fn sum_up(&mut self) {
        self.total = TotalLoad::default();
        self.total.add(&self.own);
        self.peers.add_to(&mut self.total);
    }
}
