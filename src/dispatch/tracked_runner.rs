//! One runner with its load, health and caches as this node sees it.

use {
    super::{
        Candidate, NodeLoad, PrefixCacheEstimate, RequestLoad, ResidencyOverlay, RunnerHash,
        RunnerView, SendDenial, TotalLoad, Variant,
        idle_connections::IdleConnections,
        peer_loads::PeerLoads,
        prompt_pace::{PromptPace, RandomShare},
        send_gate::SendGate,
        summed_usage::{SUMMED_USAGE_TTL_MS, SummedUsage},
        wait_queue::RequestProfile,
    },
    crate::{
        capacity::RunnerSpeed,
        discovery::{RunnerEntry, RunnerState},
        traffic::{AdapterId, ModelId, NodeName, SoftwareVersion, ZoneId},
    },
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
        time::Duration,
    },
    tokio::time::Instant,
};

/// The gossip rounds in which a changed load is reported.
const REPORT_ROUNDS: u8 = 3;

/// The maximum age of this node's list of runners.
const LIST_AGE_MAX_MS: u64 = 2_500;

/// How long a runner that could not be reached may have restarted without its new entry being
/// listed: a runner that ended stays listed for some heartbeats.
const RESTART_UNSEEN_MAX_MS: u64 = 5_000;

/// A runner with its load, health and caches as this node sees it.
#[derive(Debug)]
pub(super) struct TrackedRunner {
    /// The entry as listed by the platform.
    listed_entry: Arc<RunnerEntry>,
    /// The listed entry with the pending residency changes applied; draining if the runner itself
    /// said that it leaves.
    pub(super) entry: Arc<RunnerEntry>,
    /// Whether the list that is being applied contains the runner.
    pub(super) in_new_list: bool,
    /// Decides whether the runner may be sent a request.
    pub(super) gate: SendGate,
    pub(super) own_load: NodeLoad,
    /// The connections that this node's next request may reuse.
    pub(super) idle_connections: IdleConnections,
    /// How fast the runner sends the events of streams.
    pub(super) speed: RunnerSpeed,
    pending_changes: ResidencyOverlay,
    peer_loads: PeerLoads,
    /// The requests of all other nodes by variant, where an aggregator reports them.
    summed_usage: SummedUsage,
    pub(super) hash: RunnerHash,
    total_load: TotalLoad,
    prefix_cache: PrefixCacheEstimate,
    pace: PromptPace,
    unreported_share: RandomShare,
    cold_until: Instant,
    /// When a node last failed to connect to the runner.
    unreachable_at: Option<Instant>,
    report_rounds_left: u8,
    key_hash: u64,
}

impl TrackedRunner {
    pub(super) fn new(entry: RunnerEntry, now: Instant) -> Self {
        let mut hasher = DefaultHasher::new();
        entry.key.hash(&mut hasher);
        let cold_until = now + Duration::from_millis(entry.cold_remaining_ms);
        let hash = RunnerHash::of(&entry.key);
        let is_draining = entry.state != RunnerState::Ready;
        let listed_entry = Arc::new(entry);
        Self {
            entry: listed_entry.clone(),
            listed_entry,
            in_new_list: true,
            gate: SendGate::listed(is_draining),
            own_load: NodeLoad::default(),
            idle_connections: IdleConnections::default(),
            speed: RunnerSpeed::default(),
            pending_changes: ResidencyOverlay::default(),
            peer_loads: PeerLoads::default(),
            summed_usage: SummedUsage::default(),
            hash,
            total_load: TotalLoad::default(),
            prefix_cache: PrefixCacheEstimate::default(),
            pace: PromptPace::default(),
            unreported_share: RandomShare::new(now),
            cold_until,
            unreachable_at: None,
            report_rounds_left: 0,
            key_hash: hasher.finish(),
        }
    }

    /// Applies a newer entry; returns whether the runner begins to leave with this entry.
    pub(super) fn update(&mut self, entry: RunnerEntry, now: Instant) -> bool {
        self.in_new_list = true;
        let list_age_max = Duration::from_millis(LIST_AGE_MAX_MS);
        let departure = &mut self.gate.departure;
        let is_newer = departure
            .reported_at
            .is_some_and(|at| now >= at + list_age_max);
        if !departure.is_listed || is_newer {
            departure.reported_at = None;
        }
        departure.is_listed = true;
        if *self.listed_entry == entry {
            return false;
        }
        let begins_leaving =
            entry.state != RunnerState::Ready && self.listed_entry.state == RunnerState::Ready;
        self.cold_until = now + Duration::from_millis(entry.cold_remaining_ms);
        departure.is_draining = entry.state != RunnerState::Ready;
        self.listed_entry = Arc::new(entry);
        self.pending_changes
            .remove_confirmed(&self.listed_entry, now);
        self.refresh_entry();
        begins_leaving
    }

    /// Applies a load or drop of a model that the runner's entry does not show yet.
    pub(super) fn apply_residency_change(&mut self, variant: &Variant, held: bool, now: Instant) {
        if self.entry.holds(variant) == held {
            return;
        }
        self.pending_changes.record(variant, held, now);
        self.pending_changes
            .remove_confirmed(&self.listed_entry, now);
        self.refresh_entry();
        if !held {
            self.prefix_cache.clear();
        }
    }

    /// Records that the list lacks the runner.
    pub(super) fn record_delisted(&mut self) {
        self.gate.departure.is_listed = false;
        // Without a start time the next runner of this name has the same key.
        if self.entry.key.born_unix_ms == 0 {
            self.gate.departure.stated_at = None;
            self.refresh_entry();
        }
    }

    /// Records the runner's own statement that it leaves; returns whether it is the first one.
    ///
    /// The statement holds for the incarnation, whatever lists and peers say later.
    pub(super) fn record_statement(&mut self, now: Instant) -> bool {
        let is_first = self.gate.departure.stated_at.is_none();
        self.gate.departure.stated_at.get_or_insert(now);
        self.refresh_entry();
        is_first
    }

    /// Returns whether the runner is listed or has requests of this node.
    pub(super) fn is_current(&self) -> bool {
        self.gate.departure.is_listed || self.own_load.requests > 0
    }

    /// Records that this node or a peer failed to connect to the runner.
    pub(super) fn record_unreachable(&mut self, now: Instant) {
        self.unreachable_at = Some(now);
    }

    /// Returns whether the runner may go on with a stream that its software version began.
    ///
    /// A runner that ended may be back under its name and address with another version.
    pub(super) fn may_resume(&self, software: Option<&SoftwareVersion>, now: Instant) -> bool {
        let unseen_max = Duration::from_millis(RESTART_UNSEEN_MAX_MS);
        let may_have_restarted = self.unreachable_at.is_some_and(|at| now < at + unseen_max);
        software.is_none_or(|only| *only == self.entry.software && !may_have_restarted)
    }

    /// Decides whether a request that was assigned earlier may still be sent.
    ///
    /// # Errors
    ///
    /// Returns why not.
    pub(super) fn check_assigned(
        &self,
        software: Option<&SoftwareVersion>,
        now: Instant,
    ) -> Result<(), SendDenial> {
        match self.may_resume(software, now) {
            true => self.gate.check_assigned(now),
            false => Err(SendDenial::OtherSoftware),
        }
    }

    /// Returns whether a model or adapter is known from a residency change only, not from an entry.
    pub(super) fn is_unconfirmed(&self, variant: Option<&Variant>) -> bool {
        variant.is_some_and(|variant| self.pending_changes.is_pending(variant))
    }

    /// Returns whether the runner holds a variant; plain services need none.
    pub(super) fn holds(&self, variant: Option<&Variant>) -> bool {
        variant.is_none_or(|variant| self.entry.holds(variant))
    }

    /// Returns the runner's state as the cost of a request depends on it.
    pub(super) fn candidate(
        &self,
        profile: &RequestProfile,
        zone: &ZoneId,
        now: Instant,
    ) -> Candidate {
        let own_tokens = self.own_load.prefill_tokens.max(self.pace.tokens(now));
        let cached_tokens = u64::from(self.prefix_cache.cached_tokens(&profile.chain));
        let uncached_tokens = profile.needs.prompt_tokens.saturating_sub(cached_tokens);
        Candidate {
            slots: self.entry.slots,
            own_requests: self.own_load.requests,
            total: self.total_load,
            recent_prompt_tokens: own_tokens
                + self.peer_loads.prompt_tokens(now)
                + self.unreported_peer_tokens(uncached_tokens, now),
            cached_tokens,
            same_zone: self.entry.zone == *zone,
            cold: now < self.cold_until,
            slowness: self.gate.health.slowness(now),
        }
    }

    /// Returns whether the runner bears another request, if it is brittle.
    pub(super) fn has_sure_room(&self, candidate: &Candidate, now: Instant) -> bool {
        let random_share = self.unreported_share.value(now);
        self.gate.brittleness.has_room(candidate, random_share, now)
    }

    /// Draws the prompt tokens that peers may send before their next report.
    ///
    /// Each peer may have a prompt of the same size and see the same free capacity. With a random
    /// share, some nodes send now and the others see their prompts in the next report.
    fn unreported_peer_tokens(&self, uncached_tokens: u64, now: Instant) -> u64 {
        let possible_tokens = self.peer_loads.node_count() as f64 * uncached_tokens as f64;
        (self.unreported_share.value(now) * possible_tokens) as u64
    }

    /// Returns a number from 0 to 1 that all nodes compute alike for the runner and a prompt part.
    pub(super) fn affinity(&self, first_hash: u64) -> f64 {
        let mixed = (self.key_hash ^ first_hash).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed >> 40) as f64 / (1_u64 << 24) as f64
    }

    /// Adds a request's load and records its prompt in the estimated prefix cache.
    pub(super) fn reserve(&mut self, profile: &RequestProfile, now: Instant) -> RequestLoad {
        let cached_tokens = u64::from(self.prefix_cache.cached_tokens(&profile.chain));
        let load = RequestLoad {
            variant: profile.variant.clone(),
            kv_tokens: profile.needs.kv_tokens,
            prefill_tokens: profile.needs.prompt_tokens.saturating_sub(cached_tokens),
        };
        self.idle_connections.record_taken();
        self.own_load.add(&load);
        self.pace.record_sent(load.prefill_tokens, now);
        if let Some(capacity) = profile.needs.kv_capacity_tokens {
            self.prefix_cache
                .record_prompt(&profile.chain, capacity / 2);
        }
        self.gate.health.record_start();
        self.mark_load_changed();
        load
    }

    /// Records that the runner processed a request's prompt.
    pub(super) fn record_prompt_processed(&mut self, load: &mut RequestLoad) {
        self.own_load.record_prompt_processed(load);
        self.mark_load_changed();
    }

    /// Removes a request's load.
    pub(super) fn release(&mut self, load: &RequestLoad) {
        self.own_load.remove(load);
        self.mark_load_changed();
    }

    /// Records a peer's load on the runner.
    pub(super) fn record_peer_load(&mut self, node: &NodeName, load: NodeLoad, now: Instant) {
        self.peer_loads.record(node, load, now);
        self.recompute_total();
    }

    /// Extends the validity of a peer's load that was received within `received_within`.
    pub(super) fn renew_load(&mut self, node: &NodeName, received_within: Duration, now: Instant) {
        self.peer_loads.renew(node, received_within, now);
    }

    /// Records the requests of all other nodes by variant.
    pub(super) fn record_summed_usage(&mut self, in_use: Vec<(Variant, u32)>, now: Instant) {
        self.summed_usage = SummedUsage {
            in_use,
            until: Some(now + Duration::from_millis(SUMMED_USAGE_TTL_MS)),
        };
    }

    /// Drops peer loads, residency changes and summed usage that are too old.
    pub(super) fn expire(&mut self, now: Instant) {
        if self.peer_loads.expire(now) {
            self.recompute_total();
        }
        if self.pending_changes.expire(now) {
            self.refresh_entry();
        }
        if self.summed_usage.until.is_some_and(|until| now >= until) {
            self.summed_usage = SummedUsage::default();
        }
    }

    /// Returns this node's load if a report of it is due.
    pub(super) fn due_load(&mut self, full: bool, now: Instant) -> Option<NodeLoad> {
        let due = self.report_rounds_left > 0 || (full && self.own_load.requests > 0);
        self.report_rounds_left = self.report_rounds_left.saturating_sub(1);
        due.then(|| NodeLoad {
            recent_tokens: self.pace.tokens(now),
            ..self.own_load.clone()
        })
    }

    /// Returns the runner with its load from all nodes.
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
            in_flight: self.total_load.requests,
            in_use,
        }
    }

    fn all_in_use(&self) -> impl Iterator<Item = &(Variant, u32)> {
        let others = self.peer_loads.in_use().chain(&self.summed_usage.in_use);
        self.own_load.in_use.iter().chain(others)
    }

    fn refresh_entry(&mut self) {
        self.entry = self.pending_changes.apply(&self.listed_entry);
        let has_stated = self.gate.departure.stated_at.is_some();
        if has_stated && self.entry.state == RunnerState::Ready {
            let state = RunnerState::Draining { remaining_ms: None };
            Arc::make_mut(&mut self.entry).state = state;
        }
    }

    fn mark_load_changed(&mut self) {
        self.report_rounds_left = REPORT_ROUNDS;
        self.recompute_total();
    }

    fn recompute_total(&mut self) {
        self.total_load = TotalLoad::default();
        self.total_load.add(&self.own_load);
        self.peer_loads.add_to(&mut self.total_load);
    }
}
