//! Plans the copies of models: one of each, and more where the load needs them.

use {
    super::{Balance, CopyState, ModelCopy, RunnerState, copy_mb, draft::Draft},
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
/// What a load from the weight store costs beside one from memory, in strain.
const COLD_COST: f64 = 3.0;
/// What a load from disk costs beside one from memory, in strain.
const DISK_COST: f64 = 0.5;
/// What a copy costs in a data centre that has one, in strain.
const SAME_ZONE_COST: f64 = 0.3;
/// How many further copies one plan looks for.
const GROWTH_TRIES: usize = 4;
/// The load of a model's runners from which idle last copies make way, as a share of the slots.
const MAKE_WAY_SHARE: f64 = 0.4;
/// What the value of a last copy adds when copies are compared.
const LAST_COPY_VALUE: f64 = 3.0;
/// How many models one plan weighs further copies of.
const PRESSED_MAX: usize = 4;
/// The least strain that a further copy has to take away.
const GAIN_MIN: f64 = 0.5;

/// A runner for a new copy, and the models that make way for it.
#[derive(Debug)]
pub(super) struct Candidate {
    pub runner: usize,
    pub evicted: Vec<ModelId>,
    /// The load of the runner and what the move costs.
    cost: f64,
    /// What the move itself costs.
    delay_cost: f64,
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
                delay_cost: 0.0,
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
        let loads = draft.balance().runners;
        if let Some(candidate) = choose(draft, spec, &loads, f64::INFINITY) {
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
    let strain_now = strain(&balance, slots);
    let mut best: Option<(f64, &ModelSpec, Candidate)> = None;
    for (spec, level) in pressed_models(draft, &balance) {
        for candidate in candidates(draft, spec, &balance.runners, level) {
            if level <= balance.runners[candidate.runner] * GROWTH_RATIO + gap {
                continue;
            }
            let strain_after = strain(&draft.balance_after(&loads, spec, &candidate), slots);
            let gain = strain_now - strain_after - candidate.delay_cost;
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

/// Returns how much the requests in flight hold each other up, over all runners.
fn strain(balance: &Balance, slots: f64) -> f64 {
    let loads = balance.runners.iter();
    loads.map(|load| load * load / slots).sum()
}

/// Chooses the runner for a copy of a model whose runners have `level` requests in flight.
fn choose(draft: &Draft<'_>, spec: &ModelSpec, loads: &[f64], level: f64) -> Option<Candidate> {
    let all = candidates(draft, spec, loads, level).into_iter();
    all.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

/// Returns the runners that can have a copy of a model whose runners have `level` requests in
/// flight.
fn candidates(draft: &Draft<'_>, spec: &ModelSpec, loads: &[f64], level: f64) -> Vec<Candidate> {
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
        let Some(evicted) = evictions(draft, runner, spec, level) else {
            continue;
        };
        let in_zone = copies
            .iter()
            .any(|copy| draft.runners[*copy].zone == state.zone);
        let moved: f64 = evicted.iter().map(|model| share(draft, model)).sum();
        let delay_cost =
            source_cost(draft, runner, &spec.name) + if in_zone { SAME_ZONE_COST } else { 0.0 };
        found.push(Candidate {
            runner,
            cost: loads[runner] + moved + delay_cost,
            evicted,
            delay_cost,
        });
    }
    found
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
    let is_pressed = level >= f64::from(engine.slots) * MAKE_WAY_SHARE;
    let mut spare: Vec<(f64, &ModelId, f64)> = Vec::new();
    for copy in &state.models {
        let is_new = draft.input.now.duration_since(copy.since) < STAY_MIN;
        let is_declared = engine.model(&copy.model).is_some();
        if copy.state != CopyState::Held || copy.model == spec.name || (is_new && is_declared) {
            continue;
        }
        let others = draft.count_held(&copy.model) - 1;
        let after = draft.in_flight(&copy.model) / others.max(1) as f64;
        let stays = match others {
            0 => !is_pressed || !may_rest(draft, runner, copy),
            _ => after * GROWTH_RATIO > level,
        };
        if is_declared && stays {
            continue;
        }
        // Its runs have to end first.
        let runs = f64::from(copy.in_flight);
        let rarity = match others {
            0 => LAST_COPY_VALUE,
            _ => 1.0 / others as f64,
        };
        let value = share(draft, &copy.model) + runs + rarity;
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

/// Returns whether a last copy may go: nobody asks for it, and its runner can load it again
/// without the weight store.
fn may_rest(draft: &Draft<'_>, runner: usize, copy: &ModelCopy) -> bool {
    let is_at_hand = !draft.runners[runner].is_cold(&copy.model);
    is_at_hand && copy.in_flight == 0 && draft.is_idle(&copy.model)
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
