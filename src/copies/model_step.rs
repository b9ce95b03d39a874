//! Plans the copies of models: one of each, and more where the load needs them.

use {
    super::{CopyState, RunnerState, copy_mb, draft::Draft},
    crate::traffic::{EngineSpec, ModelId, ModelSpec},
    std::time::Duration,
};

/// How much more loaded than a new copy's runner a model's runners must be.
const GROWTH_RATIO: f64 = 1.25;
/// The least difference in requests in flight that is worth a copy, as a share of the slots.
const GROWTH_SLOTS_SHARE: f64 = 0.08;
/// The least difference in requests in flight that is worth a copy.
const GROWTH_MIN: f64 = 2.0;
/// The least load of a model that is worth a further copy.
const GROWTH_LOAD_MIN: f64 = 1.5;
/// How long a copy stays at least.
const STAY_MIN: Duration = Duration::from_secs(3);
/// What a load from the weight store costs beside one from memory, in requests in flight.
const COLD_COST: f64 = 2.0;
/// What a load from disk costs beside one from memory, in requests in flight.
const DISK_COST: f64 = 0.5;
/// What a copy costs in a zone that has one, in requests in flight.
const SAME_ZONE_COST: f64 = 1.0;
/// How many further copies one plan looks for.
const GROWTH_TRIES: usize = 4;

/// A runner for a new copy, and the models that make way for it.
#[derive(Debug, Clone)]
struct Candidate {
    runner: usize,
    evicted: Vec<ModelId>,
    cost: f64,
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
        let evicted = evictions(draft, runner, &spec, f64::INFINITY);
        if let Some(evicted) = evicted {
            let candidate = Candidate {
                runner,
                evicted,
                cost: 0.0,
            };
            place(draft, &spec, candidate);
        }
    }
}

/// Gives each model without a copy one, those that are asked for first.
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
        let loads = draft.balance().runners;
        if let Some(candidate) = choose(draft, spec, &loads, f64::INFINITY) {
            place(draft, spec, candidate);
        }
    }
}

/// Adds copies of the models whose runners have much more to do than others.
pub(super) fn grow(draft: &mut Draft<'_>) {
    let slots = f64::from(draft.input.engine.slots);
    let gap = (slots * GROWTH_SLOTS_SHARE).max(GROWTH_MIN);
    for _ in 0..GROWTH_TRIES {
        let balance = draft.balance();
        let models = draft.input.engine.models.iter().zip(&balance.levels);
        let mut pressed: Vec<(&ModelSpec, f64)> = models
            .filter(|(spec, level)| {
                level.is_finite() && draft.in_flight(&spec.name) >= GROWTH_LOAD_MIN
            })
            .map(|(spec, level)| (spec, *level))
            .collect();
        pressed.sort_by(|a, b| b.1.total_cmp(&a.1));
        let found = pressed.into_iter().find_map(|(spec, level)| {
            let candidate = choose(draft, spec, &balance.runners, level)?;
            let after = balance.runners[candidate.runner];
            let worth = level > after * GROWTH_RATIO + gap;
            worth.then_some((spec, candidate))
        });
        match found {
            Some((spec, candidate)) => place(draft, spec, candidate),
            None => return,
        }
    }
}

/// Chooses the runner for a copy of a model whose runners have `level` requests in flight.
fn choose(draft: &Draft<'_>, spec: &ModelSpec, loads: &[f64], level: f64) -> Option<Candidate> {
    let copies = draft.copies(&spec.name);
    let mut best: Option<Candidate> = None;
    for (runner, state) in draft.runners.iter().enumerate() {
        let is_free = state.is_ready && state.takes_orders && state.goal.is_none();
        if !is_free || state.copy(&spec.name).is_some() {
            continue;
        }
        if state.is_cold(&spec.name) && draft.cold_loads_left == 0 {
            continue;
        }
        let Some(evicted) = evictions(draft, runner, spec, level) else {
            continue;
        };
        let in_zone = copies
            .iter()
            .any(|copy| draft.runners[*copy].zone == state.zone);
        let moved: f64 = evicted.iter().map(|model| share(draft, model)).sum();
        let cost = loads[runner]
            + moved
            + source_cost(draft, runner, &spec.name)
            + if in_zone { SAME_ZONE_COST } else { 0.0 };
        if best.as_ref().is_none_or(|best| cost < best.cost) {
            best = Some(Candidate {
                runner,
                evicted,
                cost,
            });
        }
    }
    best
}

fn source_cost(draft: &Draft<'_>, runner: usize, model: &ModelId) -> f64 {
    let state = &draft.runners[runner];
    if state.in_memory.binary_search(model).is_ok() {
        0.0
    } else if state.on_disk.binary_search(model).is_ok() {
        DISK_COST
    } else {
        COLD_COST
    }
}

/// Returns the load of one copy of a model.
fn share(draft: &Draft<'_>, model: &ModelId) -> f64 {
    draft.in_flight(model) / draft.copies(model).len().max(1) as f64
}

/// Returns the models that make way for another, or `None` if there cannot be room.
///
/// A model whose other copies would come to `level` stays.
fn evictions(
    draft: &Draft<'_>,
    runner: usize,
    spec: &ModelSpec,
    level: f64,
) -> Option<Vec<ModelId>> {
    let state = &draft.runners[runner];
    let engine = draft.input.engine;
    let needed_mb = spec.weights_mb + adapter_headroom_mb(state, engine);
    let mut free_mb = state.free_mb(engine);
    if free_mb >= needed_mb {
        return Some(Vec::new());
    }
    let mut spare: Vec<(f64, &ModelId, f64)> = Vec::new();
    for copy in &state.models {
        let stays = draft.input.now.duration_since(copy.since) < STAY_MIN;
        let is_declared = engine.model(&copy.model).is_some();
        if copy.state != CopyState::Held || copy.model == spec.name || (stays && is_declared) {
            continue;
        }
        let others = draft.count_held(&copy.model) - 1;
        let after = draft.in_flight(&copy.model) / others.max(1) as f64;
        if is_declared && (others == 0 || after * GROWTH_RATIO > level) {
            continue;
        }
        // Its runs have to end first.
        let runs = f64::from(copy.in_flight);
        let value = share(draft, &copy.model) + runs + 1.0 / others.max(1) as f64;
        spare.push((value, &copy.model, copy_mb(copy, engine)));
    }
    spare.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut evicted = Vec::new();
    for (_, model, mb) in spare {
        if free_mb >= needed_mb {
            break;
        }
        free_mb += mb;
        evicted.push(model.clone());
    }
    (free_mb >= needed_mb).then_some(evicted)
}

/// Returns the memory that the free adapter places of a runner may come to need.
fn adapter_headroom_mb(state: &RunnerState, engine: &EngineSpec) -> f64 {
    let with_adapters = engine.models.iter().filter(|spec| spec.adapters > 0);
    let largest_mb = with_adapters
        .map(|spec| spec.adapter_mb)
        .fold(0.0, f64::max);
    let free_slots = engine.adapter_slots.saturating_sub(state.used_slots());
    largest_mb * free_slots as f64
}

/// Plans the next order towards a copy at a runner.
fn place(draft: &mut Draft<'_>, spec: &ModelSpec, candidate: Candidate) {
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
