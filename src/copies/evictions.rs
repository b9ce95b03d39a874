//! Chooses the models to unload so that a runner has room for another.

use {
    super::{
        CopyState, ModelCopy, PlannedRunner, copy_mb, model_step::GROWTH_RATIO, plan_draft::Draft,
    },
    crate::traffic::{EngineSpec, ModelId, ModelSpec},
    std::time::Duration,
};

/// How long a copy must have been loaded before it may be evicted.
const STAY_MIN: Duration = Duration::from_secs(3);
/// The load of a model's runners from which idle last copies may be evicted for it, as a share of
/// the slots of a runner.
const MAKE_WAY_SHARE: f64 = 0.4;
/// The value added to a last copy when copies are compared, in requests in flight.
const LAST_COPY_VALUE: f64 = 3.0;
/// The ratio of a model's load to that of the model whose last copy it displaces.
const DISPLACED_RATIO: f64 = 2.0;
/// The requests in flight that a model must have beyond [`DISPLACED_RATIO`] to displace another's
/// last copy.
const DISPLACED_GAP: f64 = 4.0;

/// Returns the load per copy of a model.
fn share(draft: &Draft<'_>, model: &ModelId) -> f64 {
    draft.in_flight(model) / draft.copies(model).len().max(1) as f64
}

/// Which copies may be evicted for a new copy.
#[derive(Debug, Clone, Copy)]
pub(super) struct Claim {
    /// A copy stays if the model's other copies would reach this load, in requests in flight.
    pub level: f64,
    /// A last copy may be evicted if its model has fewer requests in flight than this.
    pub displaces_below: f64,
}

impl Claim {
    /// Returns the policy for a further copy of a model whose runners have load `level`.
    pub fn further(level: f64) -> Self {
        Self {
            level,
            displaces_below: 0.0,
        }
    }

    /// Returns the policy for a first copy.
    pub fn first() -> Self {
        Self::further(f64::INFINITY)
    }

    /// Returns the policy for a first copy when not all models fit at once: last copies of models
    /// with much less load may be evicted.
    pub fn displacing(in_flight: f64) -> Self {
        Self {
            level: f64::INFINITY,
            displaces_below: (in_flight - DISPLACED_GAP) / DISPLACED_RATIO,
        }
    }
}

/// Returns the models to unload so that a runner has room for another, or `None` if the policy
/// does not allow enough of them.
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
        if copy.state != CopyState::Loaded || copy.model == spec.name || (is_new && is_declared) {
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
        // The copy is released only after its requests in flight end.
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

/// Returns whether a last copy may be unloaded: its model is idle, and the runner can load it
/// again without the weight store.
fn may_rest(draft: &Draft<'_>, runner: usize, copy: &ModelCopy) -> bool {
    let is_at_hand = !draft.runners[runner].is_cold(&copy.model);
    is_at_hand && copy.in_flight == 0 && draft.is_idle(&copy.model)
}

/// Returns the memory that the free adapter slots of a runner may need.
fn adapter_headroom_mb(state: &PlannedRunner, engine: &EngineSpec) -> f64 {
    let with_adapters = engine.models.iter().filter(|spec| spec.adapters > 0);
    let largest_mb = with_adapters
        .map(|spec| spec.adapter_mb)
        .fold(0.0, f64::max);
    let free_slots = engine.adapter_slots.saturating_sub(state.used_slots());
    largest_mb * free_slots as f64
}
