//! Plans the copies of models: one of each, and further ones where the load calls for them.

use {
    super::{
        CopyChange, LeftOut, LeftOutCause, LoadBalance, PlannedRunner, SharedLoad,
        evictions::{EvictionPolicy, choose_evictions},
        first_copy::{choose_first_copy, displacing_policy},
        plan_draft::PlanDraft,
    },
    crate::traffic::{ModelId, ModelSpec},
};

/// The ratio of the load of a model's runners to that of a new copy's runner above which a
/// further copy is considered.
pub(super) const GROWTH_LOAD_RATIO: f64 = 1.25;
/// The requests in flight that a model's runners must have beyond [`GROWTH_LOAD_RATIO`], as a
/// share of the slots of a runner.
const GROWTH_GAP_SLOTS_SHARE: f64 = 0.08;
/// The lower bound of the difference that [`GROWTH_GAP_SLOTS_SHARE`] gives, in requests in flight.
const GROWTH_GAP_MIN: f64 = 2.0;
/// The requests in flight from which a model may get a further copy.
const GROWTH_IN_FLIGHT_MIN: f64 = 1.5;
/// The extra cost of a load from the weight store over one from memory, in congestion.
const COLD_LOAD_COST: f64 = 3.0;
/// The extra cost of a load from disk over one from memory, in congestion.
const DISK_LOAD_COST: f64 = 0.5;
/// The extra cost of a copy in a data centre that already has one, in congestion.
const SAME_DATA_CENTRE_COST: f64 = 0.3;
/// The cost of each evicted model, in congestion.
const EVICTION_COST: f64 = 0.5;
/// How long a placement is assumed to last before the demand shifts, in seconds.
const PLACEMENT_HORIZON_S: f64 = 12.0;
/// The maximum number of further copies that one plan adds.
const COPIES_ADDED_MAX: usize = 4;
/// The maximum number of models that are considered for one further copy.
const MODELS_CONSIDERED_MAX: usize = 4;
/// The maximum number of runners that are compared in full for one copy.
const CANDIDATES_COMPARED_MAX: usize = 8;
/// The minimum reduction in congestion, net of costs, for which a further copy is added.
const CONGESTION_GAIN_MIN: f64 = 0.5;

/// A runner that can take a new copy, and the models that it evicts for the copy.
#[derive(Debug)]
pub(super) struct Candidate {
    /// The position of the runner.
    pub runner: usize,
    /// The models to unload first.
    pub evicted: Vec<ModelId>,
    /// The time until the copy can serve requests, in seconds.
    pub ready_in_s: f64,
    /// The cost of the move apart from its duration, in congestion.
    pub cost: f64,
    /// Whether the runner must finish its current load before it has room.
    pub is_deferred: bool,
}

/// Continues the loads for which earlier plans began to make room.
pub(super) fn resume_pending_loads(draft: &mut PlanDraft<'_>) {
    for runner in 0..draft.runners.len() {
        let Some(model) = draft.runners[runner].pending_load.clone() else {
            continue;
        };
        let Some(spec) = draft.input.engine.model(&model).cloned() else {
            draft.set_pending_load(runner, None);
            continue;
        };
        let state = &draft.runners[runner];
        if !state.accepts_orders || !state.is_ready {
            continue;
        }
        draft.set_pending_load(runner, None);
        let mut evicted = choose_evictions(draft, runner, &spec, EvictionPolicy::for_first_copy());
        if evicted.is_none() && draft.copies(&model).is_empty() {
            evicted = choose_evictions(draft, runner, &spec, displacing_policy(draft, &spec));
        }
        if let Some(evicted) = evicted {
            let candidate = Candidate {
                runner,
                evicted,
                ready_in_s: 0.0,
                cost: 0.0,
                is_deferred: false,
            };
            place_copy(draft, &spec, candidate);
        }
    }
}

/// Clears the pending loads of models without demand while a model that is asked for has no copy:
/// its load goes before theirs.
pub(super) fn cancel_pending_idle_loads(draft: &mut PlanDraft<'_>) {
    let models = draft.input.engine.models.iter();
    let mut wanted = models.filter(|spec| draft.is_wanted(&spec.name));
    if wanted.all(|spec| !draft.copies(&spec.name).is_empty()) {
        return;
    }
    for runner in 0..draft.runners.len() {
        let pending = draft.runners[runner].pending_load.as_ref();
        if pending.is_some_and(|model| !draft.is_wanted(model)) {
            draft.set_pending_load(runner, None);
        }
    }
}

/// Plans a copy of each model that has none, in descending order of load.
///
/// Models without demand are loaded only while each one that is asked for has a copy or is about to,
/// and further copies are not loaded from the weight store before that either. An idle model
/// evicts no other model as long as a runner has its weights in memory or on disk.
pub(super) fn place_missing_models(draft: &mut PlanDraft<'_>) {
    let models = draft.input.engine.models.iter();
    let missing = models.filter(|spec| draft.copies(&spec.name).is_empty());
    let (mut wanted, idle): (Vec<&ModelSpec>, Vec<&ModelSpec>) =
        missing.partition(|spec| draft.is_wanted(&spec.name));
    wanted.sort_by(|a, b| {
        let load = |spec: &ModelSpec| draft.in_flight(&spec.name);
        load(b).total_cmp(&load(a))
    });
    if wanted.is_empty() {
        for spec in idle {
            place_idle_model(draft, spec);
        }
        return;
    }
    for spec in wanted {
        match choose_first_copy(draft, spec) {
            Some(candidate) => place_copy(draft, spec, candidate),
            None => record_left_out(draft, spec),
        }
    }
    if !draft.left_out.is_empty() {
        draft.cold_loads_available = 0;
    }
}

/// Records that a model that is asked for gets no copy.
fn record_left_out(draft: &mut PlanDraft<'_>, spec: &ModelSpec) {
    let can_load = draft.cold_loads_available > 0 || draft.is_cached(&spec.name);
    draft.left_out.push(LeftOut {
        model: spec.name.clone(),
        adapter: None,
        cause: match can_load {
            true => LeftOutCause::NoRunner,
            false => LeftOutCause::NoLoadsAvailable,
        },
    });
}

/// Plans a copy of a model without demand, if the weight store has capacity to spare.
fn place_idle_model(draft: &mut PlanDraft<'_>, spec: &ModelSpec) {
    let is_cached = draft.is_cached(&spec.name);
    let is_known_idle = !draft.input.loads.is_empty();
    let has_capacity = match is_known_idle {
        true => draft.input.may_add_copies && draft.idle_loads_available > 0,
        false => draft.cold_loads_available > 0,
    };
    if !is_cached && !has_capacity {
        return;
    }
    if let Some(candidate) = choose_first_copy(draft, spec) {
        let can_wait = is_known_idle && is_cached;
        let is_from_store = draft.runners[candidate.runner].is_cold(&spec.name);
        if (!candidate.evicted.is_empty() && can_wait) || (is_from_store && !has_capacity) {
            return;
        }
        if is_from_store {
            draft.idle_loads_available = draft.idle_loads_available.saturating_sub(1);
        }
        place_copy(draft, spec, candidate);
    }
}

/// Adds the further copies that reduce congestion most.
pub(super) fn add_copies(draft: &mut PlanDraft<'_>) {
    for _ in 0..COPIES_ADDED_MAX {
        match best_further_copy(draft) {
            Some((spec, candidate)) => place_copy(draft, spec, candidate),
            None => return,
        }
    }
}

/// Returns the further copy that reduces congestion most, if any is worth its cost.
fn best_further_copy<'a>(draft: &PlanDraft<'a>) -> Option<(&'a ModelSpec, Candidate)> {
    let slots = f64::from(draft.input.engine.slots);
    let gap = (slots * GROWTH_GAP_SLOTS_SHARE).max(GROWTH_GAP_MIN);
    let evaluation = MoveEvaluation::new(draft);
    let congestion_now = evaluation.balance.congestion(slots);
    let mut best: Option<(f64, &ModelSpec, Candidate)> = None;
    for (spec, level) in most_congested_models(draft, &evaluation.balance) {
        let mut found = candidates(draft, spec, EvictionPolicy::for_further_copy(level));
        found.retain(|candidate| {
            let load = evaluation.balance.runner_loads[candidate.runner];
            level > load * GROWTH_LOAD_RATIO + gap
        });
        retain_best(draft, &evaluation, level, &mut found);
        for candidate in found {
            let congestion = evaluation.mean_congestion(draft, spec, &candidate);
            let gain = congestion_now - congestion - candidate.cost;
            if gain
                > best
                    .as_ref()
                    .map_or(CONGESTION_GAIN_MIN, |(most, ..)| *most)
            {
                best = Some((gain, spec, candidate));
            }
        }
    }
    best.map(|(_, spec, candidate)| (spec, candidate))
}

/// Returns the models with the most congestion, each with the load of its least loaded runner.
fn most_congested_models<'a>(
    draft: &PlanDraft<'a>,
    balance: &LoadBalance,
) -> Vec<(&'a ModelSpec, f64)> {
    let models = draft.input.engine.models.iter().zip(&balance.model_levels);
    let mut congested: Vec<(&ModelSpec, f64)> = models
        .filter(|(spec, level)| {
            level.is_finite() && draft.in_flight(&spec.name) >= GROWTH_IN_FLIGHT_MIN
        })
        .map(|(spec, level)| (spec, *level))
        .collect();
    let weight = |(spec, level): &(&ModelSpec, f64)| level * draft.in_flight(&spec.name);
    congested.sort_by(|a, b| weight(b).total_cmp(&weight(a)));
    congested.truncate(MODELS_CONSIDERED_MAX);
    congested
}

/// Returns the share of [`PLACEMENT_HORIZON_S`] that passes before a copy can serve requests.
pub(super) fn share_until_ready(candidate: &Candidate) -> f64 {
    (candidate.ready_in_s / PLACEMENT_HORIZON_S).min(1.0)
}

/// The balance of the projected fleet, against which candidates are compared.
#[derive(Debug)]
pub(super) struct MoveEvaluation {
    loads: Vec<SharedLoad>,
    balance: LoadBalance,
}

impl MoveEvaluation {
    /// Spreads the loads over the copies of a plan.
    pub fn new(draft: &PlanDraft<'_>) -> Self {
        let loads = draft.shared_loads();
        let balance = LoadBalance::new(draft.runners.len(), &loads);
        Self { loads, balance }
    }

    /// Returns the mean congestion over [`PLACEMENT_HORIZON_S`]: evicted copies are gone at once,
    /// the new copy serves only once it is loaded.
    pub fn mean_congestion(
        &self,
        draft: &PlanDraft<'_>,
        spec: &ModelSpec,
        candidate: &Candidate,
    ) -> f64 {
        let slots = f64::from(draft.input.engine.slots);
        let evicted = candidate.evicted.iter();
        let removed: Vec<usize> = evicted
            .filter_map(|model| draft.index.position(model))
            .collect();
        let congestion = |added| {
            let change = CopyChange {
                runner: candidate.runner,
                removed: &removed,
                added,
            };
            self.balance.congestion_after(&self.loads, change, slots)
        };
        let share = share_until_ready(candidate);
        let added = draft.index.position(&spec.name);
        congestion(None) * share + congestion(added) * (1.0 - share)
    }
}

/// Keeps the candidates that are likely best, by the load that the copy would add to their runners
/// and by their costs.
pub(super) fn retain_best(
    draft: &PlanDraft<'_>,
    evaluation: &MoveEvaluation,
    added_load: f64,
    candidates: &mut Vec<Candidate>,
) {
    if candidates.len() <= CANDIDATES_COMPARED_MAX {
        return;
    }
    let slots = f64::from(draft.input.engine.slots);
    let cost = |candidate: &Candidate| {
        let load = evaluation.balance.runner_loads[candidate.runner];
        let congestion = (2.0 * load + added_load) * added_load / slots;
        congestion + added_load * share_until_ready(candidate) + candidate.cost
    };
    candidates.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
    candidates.truncate(CANDIDATES_COMPARED_MAX);
}

/// Returns the runners that can take a copy of a model under an eviction policy.
pub(super) fn candidates(
    draft: &PlanDraft<'_>,
    spec: &ModelSpec,
    policy: EvictionPolicy,
) -> Vec<Candidate> {
    let copies = draft.copies(&spec.name);
    let mut found = Vec::new();
    for (runner, state) in draft.runners.iter().enumerate() {
        let is_available = state.is_ready && state.accepts_orders && state.pending_load.is_none();
        if !is_available || state.copy(&spec.name).is_some() {
            continue;
        }
        if state.is_cold(&spec.name) && draft.cold_loads_available == 0 {
            continue;
        }
        let Some(evicted) = choose_evictions(draft, runner, spec, policy) else {
            continue;
        };
        let in_zone = copies
            .iter()
            .any(|copy| draft.runners[*copy].zone == state.zone);
        let zone_cost = if in_zone { SAME_DATA_CENTRE_COST } else { 0.0 };
        let eviction_cost = EVICTION_COST * evicted.len() as f64;
        found.push(Candidate {
            runner,
            ready_in_s: drain_time_s(draft, state, &evicted) + state.load_s(spec),
            cost: load_source_cost(draft, runner, &spec.name) + zone_cost + eviction_cost,
            evicted,
            is_deferred: false,
        });
    }
    found
}

/// Returns the expected time until the requests in flight on the evicted models end, in seconds.
///
/// The expected maximum of n random durations grows with the logarithm of n.
fn drain_time_s(draft: &PlanDraft<'_>, state: &PlannedRunner, evicted: &[ModelId]) -> f64 {
    let copies = evicted.iter().filter_map(|model| state.copy(model));
    let requests = copies.map(|copy| f64::from(copy.in_flight));
    let times = requests.map(|requests| {
        if requests > 0.0 {
            1.0 + requests.ln()
        } else {
            0.0
        }
    });
    times.sum::<f64>() * draft.input.mean_request_time_s
}

/// Returns the cost of loading a model from where a runner has its weights, in congestion.
pub(super) fn load_source_cost(draft: &PlanDraft<'_>, runner: usize, model: &ModelId) -> f64 {
    let state = &draft.runners[runner];
    if state.in_memory.binary_search(model).is_ok() {
        0.0
    } else if state.on_disk.binary_search(model).is_ok() {
        DISK_LOAD_COST
    } else {
        COLD_LOAD_COST
    }
}

/// Plans the next order that leads to a candidate's copy: an unload while room is missing, else
/// the load. Without an order that is possible now, the load stays pending at the runner.
fn place_copy(draft: &mut PlanDraft<'_>, spec: &ModelSpec, candidate: Candidate) {
    if candidate.is_deferred {
        draft.set_pending_load(candidate.runner, Some(spec.name.clone()));
        return;
    }
    match candidate.evicted.into_iter().next() {
        Some(model) => draft.unload_model(candidate.runner, model, spec.name.clone()),
        None if draft.runners[candidate.runner].is_cold(&spec.name)
            && draft.cold_loads_available == 0 =>
        {
            draft.set_pending_load(candidate.runner, Some(spec.name.clone()));
        }
        None => draft.load_model(candidate.runner, spec.name.clone()),
    }
}
