//! Plans the copies of models: one of each, and more where the load needs them.

use {
    super::{
        Balance, RunnerState, SharedLoad,
        draft::Draft,
        first_copy::choose,
        make_room::{Claim, evictions},
    },
    crate::traffic::{ModelId, ModelSpec},
};

/// How much more loaded than a new copy's runner a model's runners must be.
pub(super) const GROWTH_RATIO: f64 = 1.25;
/// The least difference in requests in flight that is worth a copy, as a share of the slots.
const GROWTH_SLOTS_SHARE: f64 = 0.08;
/// The least difference in requests in flight that is worth a copy.
const GROWTH_MIN: f64 = 2.0;
/// The least load of a model that is worth a further copy.
const GROWTH_LOAD_MIN: f64 = 1.5;
/// What a load from the weight store costs beside one from memory, in strain.
const COLD_COST: f64 = 3.0;
/// What a load from disk costs beside one from memory, in strain.
const DISK_COST: f64 = 0.5;
/// What a copy costs in a data centre that has one, in strain.
const SAME_ZONE_COST: f64 = 0.3;
/// What it costs that a model makes way, in strain.
const EVICTION_COST: f64 = 0.5;
/// How long a placement is taken to last before demand moves on, in seconds.
const HORIZON_S: f64 = 12.0;
/// How many further copies one plan looks for.
const GROWTH_TRIES: usize = 4;
/// How many models one plan weighs further copies of.
const PRESSED_MAX: usize = 4;
/// The least strain that a further copy has to take away.
const GAIN_MIN: f64 = 0.5;

/// A runner for a new copy, and the models that make way for it.
#[derive(Debug)]
pub(super) struct Candidate {
    pub runner: usize,
    pub evicted: Vec<ModelId>,
    /// The time until the copy serves, in seconds.
    pub time_s: f64,
    /// What the move costs beside its time, in strain.
    pub price: f64,
    /// Whether the runner has room once it is done with what it does.
    pub is_later: bool,
}

/// Goes on with the loads that room is being made for.
pub(super) fn pursue_goals(draft: &mut Draft<'_>) {
    for runner in 0..draft.runners.len() {
        let Some(goal) = draft.runners[runner].goal.clone() else {
            continue;
        };
        let Some(spec) = draft.input.engine.model(&goal).cloned() else {
            draft.runners[runner].goal = None;
            continue;
        };
        let state = &draft.runners[runner];
        if !state.takes_orders || !state.is_ready {
            continue;
        }
        draft.runners[runner].goal = None;
        let mut evicted = evictions(draft, runner, &spec, Claim::first());
        if evicted.is_none() && draft.copies(&goal).is_empty() {
            let claim = Claim::displacing(draft.in_flight(&goal));
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

/// Gives each model without a copy one, those that are asked for first.
///
/// One that nobody asks for takes no other's place while a runner can load it without the weight
/// store.
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

/// Adds the copies that take most strain off the runners.
pub(super) fn grow(draft: &mut Draft<'_>) {
    for _ in 0..GROWTH_TRIES {
        match best_growth(draft) {
            Some((spec, candidate)) => place(draft, spec, candidate),
            None => return,
        }
    }
}

/// Returns the further copy that takes most strain off the runners, if any is worth its cost.
fn best_growth<'a>(draft: &Draft<'a>) -> Option<(&'a ModelSpec, Candidate)> {
    let slots = f64::from(draft.input.engine.slots);
    let gap = (slots * GROWTH_SLOTS_SHARE).max(GROWTH_MIN);
    let loads = draft.shared_loads();
    let balance = Balance::new(draft.runners.len(), &loads);
    let strain_now = balance.strain(slots);
    let mut best: Option<(f64, &ModelSpec, Candidate)> = None;
    for (spec, level) in pressed_models(draft, &balance) {
        for candidate in candidates(draft, spec, Claim::further(level)) {
            if level <= balance.runners[candidate.runner] * GROWTH_RATIO + gap {
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

/// Returns the models whose requests are held up most, each with the load of its runners.
fn pressed_models<'a>(draft: &Draft<'a>, balance: &Balance) -> Vec<(&'a ModelSpec, f64)> {
    let models = draft.input.engine.models.iter().zip(&balance.levels);
    let mut pressed: Vec<(&ModelSpec, f64)> = models
        .filter(|(spec, level)| level.is_finite() && draft.in_flight(&spec.name) >= GROWTH_LOAD_MIN)
        .map(|(spec, level)| (spec, *level))
        .collect();
    let weight = |(spec, level): &(&ModelSpec, f64)| level * draft.in_flight(&spec.name);
    pressed.sort_by(|a, b| weight(b).total_cmp(&weight(a)));
    pressed.truncate(PRESSED_MAX);
    pressed
}

/// Returns the share of a placement's time that passes before a copy serves.
pub(super) fn time_share(candidate: &Candidate) -> f64 {
    (candidate.time_s / HORIZON_S).min(1.0)
}

/// Returns the mean strain while a placement with the copy lasts: what makes way is gone at once,
/// the copy serves later.
pub(super) fn mean_strain(
    draft: &Draft<'_>,
    loads: &[SharedLoad],
    spec: &ModelSpec,
    candidate: &Candidate,
) -> f64 {
    let slots = f64::from(draft.input.engine.slots);
    let before = draft.balance_before(loads, candidate).strain(slots);
    let after = draft.balance_after(loads, spec, candidate).strain(slots);
    let share = time_share(candidate);
    before * share + after * (1.0 - share)
}

/// Returns the runners that can have a copy of a model by a claim.
pub(super) fn candidates(draft: &Draft<'_>, spec: &ModelSpec, claim: Claim) -> Vec<Candidate> {
    let copies = draft.copies(&spec.name);
    let mut found = Vec::new();
    for (runner, state) in draft.runners.iter().enumerate() {
        let is_free = state.is_ready && state.takes_orders && state.goal.is_none();
        if !is_free || state.copy(&spec.name).is_some() {
            continue;
        }
        if state.is_cold(&spec.name) && draft.cold_loads_left == 0 {
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

/// Returns the time until the last of the runs ends that make way, in seconds.
///
/// The longest of a number of times that end at random grows with the number's logarithm.
fn drain_s(draft: &Draft<'_>, state: &RunnerState, evicted: &[ModelId]) -> f64 {
    let copies = evicted.iter().filter_map(|model| state.copy(model));
    let runs = copies.map(|copy| f64::from(copy.in_flight));
    let times = runs.map(|runs| if runs > 0.0 { 1.0 + runs.ln() } else { 0.0 });
    times.sum::<f64>() * draft.input.run_time_s
}

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

/// Plans the next order towards a copy at a runner.
fn place(draft: &mut Draft<'_>, spec: &ModelSpec, candidate: Candidate) {
    if candidate.is_later {
        draft.runners[candidate.runner].goal = Some(spec.name.clone());
        return;
    }
    match candidate.evicted.into_iter().next() {
        Some(model) => draft.unload(candidate.runner, model, spec.name.clone()),
        None if draft.runners[candidate.runner].is_cold(&spec.name)
            && draft.cold_loads_left == 0 =>
        {
            draft.runners[candidate.runner].goal = Some(spec.name.clone());
        }
        None => draft.load_model(candidate.runner, spec.name.clone()),
    }
}
