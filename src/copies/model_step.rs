//! Plans the copies of models: one of each, and further ones where the load calls for them.

use {
    super::{
        LoadBalance, PlannedRunner, SharedLoad,
        evictions::{Claim, evictions},
        first_copy::choose,
        plan_draft::Draft,
    },
    crate::traffic::{ModelId, ModelSpec},
};

/// The ratio of the load of a model's runners to that of a new copy's runner above which a
/// further copy is considered.
pub(super) const GROWTH_RATIO: f64 = 1.25;
/// The requests in flight that a model's runners must have beyond [`GROWTH_RATIO`], as a share of
/// the slots of a runner.
const GROWTH_SLOTS_SHARE: f64 = 0.08;
/// The lower bound of the difference that [`GROWTH_SLOTS_SHARE`] gives, in requests in flight.
const GROWTH_MIN: f64 = 2.0;
/// The requests in flight from which a model may get a further copy.
const GROWTH_LOAD_MIN: f64 = 1.5;
/// The extra cost of a load from the weight store over one from memory, in congestion.
const COLD_COST: f64 = 3.0;
/// The extra cost of a load from disk over one from memory, in congestion.
const DISK_COST: f64 = 0.5;
/// The extra cost of a copy in a data centre that already has one, in congestion.
const SAME_ZONE_COST: f64 = 0.3;
/// The cost of each evicted model, in congestion.
const EVICTION_COST: f64 = 0.5;
/// How long a placement is assumed to last before the demand shifts, in seconds.
const HORIZON_S: f64 = 12.0;
/// The maximum number of further copies that one plan adds.
const GROWTH_TRIES: usize = 4;
/// The maximum number of models that are considered for one further copy.
const PRESSED_MAX: usize = 4;
/// The minimum reduction in congestion, net of costs, for which a further copy is added.
const GAIN_MIN: f64 = 0.5;

/// A runner that can take a new copy, and the models that it evicts for the copy.
#[derive(Debug)]
pub(super) struct Candidate {
    pub runner: usize,
    pub evicted: Vec<ModelId>,
    /// The time until the copy can serve requests, in seconds.
    pub time_s: f64,
    /// The cost of the move apart from its duration, in congestion.
    pub price: f64,
    /// Whether the runner must finish its current load before it has room.
    pub is_later: bool,
}

/// Continues the loads for which earlier plans began to make room.
pub(super) fn resume_pending_loads(draft: &mut Draft<'_>) {
    for runner in 0..draft.runners.len() {
        let Some(model) = draft.runners[runner].pending_load.clone() else {
            continue;
        };
        let Some(spec) = draft.input.engine.model(&model).cloned() else {
            draft.runners[runner].pending_load = None;
            continue;
        };
        let state = &draft.runners[runner];
        if !state.accepts_orders || !state.is_ready {
            continue;
        }
        draft.runners[runner].pending_load = None;
        let mut evicted = evictions(draft, runner, &spec, Claim::first());
        if evicted.is_none() && draft.copies(&model).is_empty() {
            let claim = Claim::displacing(draft.in_flight(&model));
            evicted = evictions(draft, runner, &spec, claim);
        }
        if let Some(evicted) = evicted {
            let candidate = Candidate {
                runner,
                evicted,
                time_s: 0.0,
                price: 0.0,
                is_later: false,
            };
            place(draft, &spec, candidate);
        }
    }
}

/// Plans a copy of each model that has none, in descending order of load.
///
/// An idle model evicts no other model as long as a runner has its weights in memory or on disk.
pub(super) fn keep_one_of_each(draft: &mut Draft<'_>) {
    let models = draft.input.engine.models.iter();
    let mut absent: Vec<&ModelSpec> = models
        .filter(|spec| draft.copies(&spec.name).is_empty())
        .collect();
    absent.sort_by(|a, b| {
        let load = |spec: &ModelSpec| draft.in_flight(&spec.name);
        load(b).total_cmp(&load(a))
    });
    for spec in absent {
        if let Some(candidate) = choose(draft, spec) {
            let can_wait = draft.is_idle(&spec.name) && draft.is_at_hand(&spec.name);
            if !candidate.evicted.is_empty() && can_wait {
                continue;
            }
            place(draft, spec, candidate);
        }
    }
}

/// Adds the further copies that reduce congestion most.
pub(super) fn grow(draft: &mut Draft<'_>) {
    for _ in 0..GROWTH_TRIES {
        match best_growth(draft) {
            Some((spec, candidate)) => place(draft, spec, candidate),
            None => return,
        }
    }
}

/// Returns the further copy that reduces congestion most, if any is worth its cost.
fn best_growth<'a>(draft: &Draft<'a>) -> Option<(&'a ModelSpec, Candidate)> {
    let slots = f64::from(draft.input.engine.slots);
    let gap = (slots * GROWTH_SLOTS_SHARE).max(GROWTH_MIN);
    let loads = draft.shared_loads();
    let balance = LoadBalance::new(draft.runners.len(), &loads);
    let strain_now = balance.congestion(slots);
    let mut best: Option<(f64, &ModelSpec, Candidate)> = None;
    for (spec, level) in pressed_models(draft, &balance) {
        for candidate in candidates(draft, spec, Claim::further(level)) {
            if level <= balance.runner_loads[candidate.runner] * GROWTH_RATIO + gap {
                continue;
            }
            let gain = strain_now - mean_strain(draft, &loads, spec, &candidate) - candidate.price;
            if gain > best.as_ref().map_or(GAIN_MIN, |(most, ..)| *most) {
                best = Some((gain, spec, candidate));
            }
        }
    }
    best.map(|(_, spec, candidate)| (spec, candidate))
}

/// Returns the models with the most congestion, each with the load of its least loaded runner.
fn pressed_models<'a>(draft: &Draft<'a>, balance: &LoadBalance) -> Vec<(&'a ModelSpec, f64)> {
    let models = draft.input.engine.models.iter().zip(&balance.model_levels);
    let mut pressed: Vec<(&ModelSpec, f64)> = models
        .filter(|(spec, level)| level.is_finite() && draft.in_flight(&spec.name) >= GROWTH_LOAD_MIN)
        .map(|(spec, level)| (spec, *level))
        .collect();
    let weight = |(spec, level): &(&ModelSpec, f64)| level * draft.in_flight(&spec.name);
    pressed.sort_by(|a, b| weight(b).total_cmp(&weight(a)));
    pressed.truncate(PRESSED_MAX);
    pressed
}

/// Returns the share of [`HORIZON_S`] that passes before a copy can serve requests.
pub(super) fn time_share(candidate: &Candidate) -> f64 {
    (candidate.time_s / HORIZON_S).min(1.0)
}

/// Returns the mean congestion over [`HORIZON_S`]: evicted copies are gone at once, the new copy
/// serves only once it is loaded.
pub(super) fn mean_strain(
    draft: &Draft<'_>,
    loads: &[SharedLoad],
    spec: &ModelSpec,
    candidate: &Candidate,
) -> f64 {
    let slots = f64::from(draft.input.engine.slots);
    let before = draft.balance_before(loads, candidate).congestion(slots);
    let after = draft
        .balance_after(loads, spec, candidate)
        .congestion(slots);
    let share = time_share(candidate);
    before * share + after * (1.0 - share)
}

/// Returns the runners that can take a copy of a model under an eviction policy.
pub(super) fn candidates(draft: &Draft<'_>, spec: &ModelSpec, claim: Claim) -> Vec<Candidate> {
    let copies = draft.copies(&spec.name);
    let mut found = Vec::new();
    for (runner, state) in draft.runners.iter().enumerate() {
        let is_free = state.is_ready && state.accepts_orders && state.pending_load.is_none();
        if !is_free || state.copy(&spec.name).is_some() {
            continue;
        }
        if state.is_cold(&spec.name) && draft.cold_loads_available == 0 {
            continue;
        }
        let Some(evicted) = evictions(draft, runner, spec, claim) else {
            continue;
        };
        let in_zone = copies
            .iter()
            .any(|copy| draft.runners[*copy].zone == state.zone);
        let zone_price = if in_zone { SAME_ZONE_COST } else { 0.0 };
        let eviction_price = EVICTION_COST * evicted.len() as f64;
        found.push(Candidate {
            runner,
            time_s: drain_s(draft, state, &evicted) + state.load_s(spec),
            price: source_cost(draft, runner, &spec.name) + zone_price + eviction_price,
            evicted,
            is_later: false,
        });
    }
    found
}

/// Returns the expected time until the requests in flight on the evicted models end, in seconds.
///
/// The expected maximum of n random durations grows with the logarithm of n.
fn drain_s(draft: &Draft<'_>, state: &PlannedRunner, evicted: &[ModelId]) -> f64 {
    let copies = evicted.iter().filter_map(|model| state.copy(model));
    let runs = copies.map(|copy| f64::from(copy.in_flight));
    let times = runs.map(|runs| if runs > 0.0 { 1.0 + runs.ln() } else { 0.0 });
    times.sum::<f64>() * draft.input.mean_request_time_s
}

/// Returns the cost of loading a model from where a runner has its weights, in congestion.
pub(super) fn source_cost(draft: &Draft<'_>, runner: usize, model: &ModelId) -> f64 {
    let state = &draft.runners[runner];
    if state.in_memory.binary_search(model).is_ok() {
        0.0
    } else if state.on_disk.binary_search(model).is_ok() {
        DISK_COST
    } else {
        COLD_COST
    }
}

/// Plans the next order that leads to a candidate's copy: an unload while room is missing, else
/// the load. Without an order that is possible now, the load stays pending at the runner.
fn place(draft: &mut Draft<'_>, spec: &ModelSpec, candidate: Candidate) {
    if candidate.is_later {
        draft.runners[candidate.runner].pending_load = Some(spec.name.clone());
        return;
    }
    match candidate.evicted.into_iter().next() {
        Some(model) => draft.unload(candidate.runner, model, spec.name.clone()),
        None if draft.runners[candidate.runner].is_cold(&spec.name)
            && draft.cold_loads_available == 0 =>
        {
            draft.runners[candidate.runner].pending_load = Some(spec.name.clone());
        }
        None => draft.load_model(candidate.runner, spec.name.clone()),
    }
}
