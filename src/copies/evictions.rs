//! Chooses the models to unload so that a runner has room for another.

use {
    super::{
        CopyState, ModelCopy, PlannedRunner, copy_mb, model_step::GROWTH_LOAD_RATIO,
        plan_draft::PlanDraft,
    },
    crate::traffic::{EngineSpec, ModelId, ModelSpec},
    std::time::Duration,
};

/// How long a copy must have been loaded before it may be evicted.
const COPY_AGE_MIN: Duration = Duration::from_secs(3);
/// The load of a model's runners from which idle last copies may be evicted for it, as a share of
/// the slots of a runner.
const IDLE_EVICTION_LOAD_SHARE: f64 = 0.4;
/// The value added to a last copy when copies are compared, in requests in flight.
const LAST_COPY_VALUE: f64 = 3.0;
/// The ratio of a model's load to that of the model whose last copy it displaces.
const DISPLACEMENT_LOAD_RATIO: f64 = 2.0;
/// The requests in flight that a model must have beyond [`DISPLACEMENT_LOAD_RATIO`] to displace
/// the last copy of another.
const DISPLACEMENT_LOAD_GAP: f64 = 4.0;

/// Returns the load per copy of a model.
fn load_per_copy(draft: &PlanDraft<'_>, model: &ModelId) -> f64 {
    draft.in_flight(model) / draft.copies(model).len().max(1) as f64
}

/// Which copies may be evicted for a new copy.
#[derive(Debug, Clone, Copy)]
pub(super) struct EvictionPolicy {
    /// A copy stays if the model's other copies would reach this load, in requests in flight.
    pub remaining_load_max: f64,
    /// A last copy may be evicted if its model has fewer requests in flight than this.
    pub displaced_load_below: f64,
    /// A last copy without requests in flight may be evicted if its model has less load than this
    /// and no request waits for it.
    pub unused_load_below: f64,
}

impl EvictionPolicy {
    /// Returns the policy for a further copy of a model whose runners have load
    /// `remaining_load_max`.
    pub fn for_further_copy(remaining_load_max: f64) -> Self {
        Self {
            remaining_load_max,
            displaced_load_below: 0.0,
            unused_load_below: 0.0,
        }
    }

    /// Returns the policy for a first copy.
    pub fn for_first_copy() -> Self {
        Self::for_further_copy(f64::INFINITY)
    }

    /// Returns the policy for a first copy when not all models fit at once: last copies of models
    /// with much less load may be evicted, and unused ones of models with less load if requests
    /// wait for the copy.
    pub fn displacing(in_flight: f64, waiting: u32) -> Self {
        Self {
            remaining_load_max: f64::INFINITY,
            displaced_load_below: (in_flight - DISPLACEMENT_LOAD_GAP) / DISPLACEMENT_LOAD_RATIO,
            unused_load_below: match waiting {
                0 => 0.0,
                _ => in_flight / DISPLACEMENT_LOAD_RATIO,
            },
        }
    }
}

/// Returns the models to unload so that a runner has room for another, or `None` if the policy
/// does not allow enough of them.
pub(super) fn choose_evictions(
    draft: &PlanDraft<'_>,
    runner: usize,
    spec: &ModelSpec,
    policy: EvictionPolicy,
) -> Option<Vec<ModelId>> {
    let state = &draft.runners[runner];
    let engine = draft.input.engine;
    let needed_mb = spec.weights_mb + adapter_headroom_mb(state, engine);
    let mut free_mb = state.free_mb(engine);
    if free_mb >= needed_mb {
        return Some(Vec::new());
    }
    let may_evict_idle =
        policy.remaining_load_max >= f64::from(engine.slots) * IDLE_EVICTION_LOAD_SHARE;
    let mut evictable: Vec<(f64, &ModelId, f64)> = Vec::new();
    for copy in &state.models {
        let is_new = draft.input.now.duration_since(copy.since) < COPY_AGE_MIN;
        let is_configured = engine.model(&copy.model).is_some();
        if copy.state != CopyState::Loaded || copy.model == spec.name || (is_new && is_configured) {
            continue;
        }
        let other_copies = draft.count_loaded(&copy.model).saturating_sub(1);
        let remaining_load = draft.in_flight(&copy.model) / other_copies.max(1) as f64;
        let is_kept = match other_copies {
            0 => {
                let is_evictable_idle =
                    may_evict_idle && is_reloadable_idle_copy(draft, runner, copy);
                let in_flight = draft.in_flight(&copy.model);
                let is_unused = copy.in_flight == 0
                    && in_flight < policy.unused_load_below
                    && draft.load(&copy.model).is_none_or(|load| load.waiting == 0);
                !is_evictable_idle && !is_unused && in_flight >= policy.displaced_load_below
            }
            _ => remaining_load * GROWTH_LOAD_RATIO > policy.remaining_load_max,
        };
        if is_configured && is_kept {
            continue;
        }
        // The copy is released only after its requests in flight end.
        let requests = f64::from(copy.in_flight);
        let scarcity = match other_copies {
            0 => LAST_COPY_VALUE,
            _ => 1.0 / other_copies as f64,
        };
        let value = load_per_copy(draft, &copy.model) + requests + scarcity;
        evictable.push((value, &copy.model, copy_mb(copy, engine)));
    }
    evictable.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut evicted = Vec::new();
    for (_, model, mb) in evictable {
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
fn is_reloadable_idle_copy(draft: &PlanDraft<'_>, runner: usize, copy: &ModelCopy) -> bool {
    let is_cached = !draft.runners[runner].is_cold(&copy.model);
    is_cached && copy.in_flight == 0 && draft.is_idle(&copy.model)
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
