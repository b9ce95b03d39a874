//! Finds which models make way for another.

use {
    super::{CopyState, ModelCopy, RunnerState, copy_mb, draft::Draft, model_step::GROWTH_RATIO},
    crate::traffic::{EngineSpec, ModelId, ModelSpec},
    std::time::Duration,
};

/// How long a copy stays at least.
const STAY_MIN: Duration = Duration::from_secs(3);
/// The load of a model's runners from which idle last copies make way, as a share of the slots.
const MAKE_WAY_SHARE: f64 = 0.4;
/// What the value of a last copy adds when copies are compared.
const LAST_COPY_VALUE: f64 = 3.0;
/// How much more a model must be asked for than one whose last copy it displaces.
const DISPLACED_RATIO: f64 = 2.0;
/// The least difference in requests in flight for which a last copy is displaced.
const DISPLACED_GAP: f64 = 4.0;

/// Returns the load of one copy of a model.
fn share(draft: &Draft<'_>, model: &ModelId) -> f64 {
    draft.in_flight(model) / draft.copies(model).len().max(1) as f64
}

/// What a copy may take the place of.
#[derive(Debug, Clone, Copy)]
pub(super) struct Claim {
    /// A model whose other copies would come to this many requests in flight stays.
    pub level: f64,
    /// Last copies of models with fewer requests in flight make way.
    pub displaces_below: f64,
}

impl Claim {
    /// Returns the claim of a further copy of a model whose runners have a load.
    pub fn further(level: f64) -> Self {
        Self {
            level,
            displaces_below: 0.0,
        }
    }

    /// Returns the claim of a first copy.
    pub fn first() -> Self {
        Self::further(f64::INFINITY)
    }

    /// Returns the claim of a first copy when there is no place for one of each: models that are
    /// asked for much less make way.
    pub fn displacing(in_flight: f64) -> Self {
        Self {
            level: f64::INFINITY,
            displaces_below: (in_flight - DISPLACED_GAP) / DISPLACED_RATIO,
        }
    }
}

/// Returns the models that make way for another, or `None` if there cannot be room.
pub(super) fn evictions(
    draft: &Draft<'_>,
    runner: usize,
    spec: &ModelSpec,
    claim: Claim,
) -> Option<Vec<ModelId>> {
    let state = &draft.runners[runner];
    let engine = draft.input.engine;
    let needed_mb = spec.weights_mb + adapter_headroom_mb(state, engine);
    let mut free_mb = state.free_mb(engine);
    if free_mb >= needed_mb {
        return Some(Vec::new());
    }
    let is_pressed = claim.level >= f64::from(engine.slots) * MAKE_WAY_SHARE;
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
            0 => {
                let rests = is_pressed && may_rest(draft, runner, copy);
                !rests && draft.in_flight(&copy.model) >= claim.displaces_below
            }
            _ => after * GROWTH_RATIO > claim.level,
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
