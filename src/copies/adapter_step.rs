//! Plans the loads and evictions of adapters.

use {
    super::{AdapterLoad, CopyState, LeftOut, LeftOutCause, PlannedRunner, plan_draft::PlanDraft},
    crate::traffic::{AdapterId, ModelId},
    std::time::Duration,
};

/// The maximum number of adapters that one runner loads at once.
const LOADS_PER_RUNNER_MAX: usize = 4;
/// The requests in flight that one copy of an adapter is meant to serve.
const IN_FLIGHT_PER_COPY: f64 = 6.0;
/// The requests in flight from which an adapter is kept loaded though no request waits for it.
const PRELOAD_IN_FLIGHT_MIN: f64 = 0.2;
/// The cost of evicting another adapter first, in requests in flight at the runner.
const EVICTION_COST: f64 = 2.0;
/// The ratio of the load of an adapter's least loaded holder to that of another holder of the
/// model above which the adapter gets a further copy.
const OVERLOAD_RATIO: f64 = 1.5;
/// The requests in flight that the least loaded holder must have beyond [`OVERLOAD_RATIO`].
const OVERLOAD_GAP: f64 = 4.0;
/// How long an adapter must have been unused before it may be evicted.
const EVICTION_IDLE_MIN: Duration = Duration::from_millis(400);

/// Plans loads of the adapters that requests wait for, then of those with steady demand.
pub(super) fn plan_adapters(draft: &mut PlanDraft<'_>) {
    let mut requested: Vec<(&ModelId, &AdapterLoad)> = Vec::new();
    for load in draft.input.loads {
        let adapters = load.adapters.iter();
        requested.extend(adapters.map(|adapter| (&load.model, adapter)));
    }
    requested.sort_by(|(_, a), (_, b)| {
        let waiting = b.waiting.cmp(&a.waiting);
        waiting.then(b.in_flight.total_cmp(&a.in_flight))
    });
    for (model, load) in requested {
        let copies = count_copies(draft, model, &load.adapter);
        let cause = match draft.adapter_loads_available {
            0 => Some(LeftOutCause::NoLoadsAvailable),
            _ if copies < copies_needed(load) || is_overloaded(draft, model, load) => {
                add_copy(draft, model, load).err()
            }
            _ => None,
        };
        if let Some(cause) = cause.filter(|_| copies == 0 && load.waiting > 0) {
            draft.left_out.push(LeftOut {
                model: model.clone(),
                adapter: Some(load.adapter.clone()),
                cause,
            });
        }
    }
}

/// Returns how many copies of an adapter its load calls for.
fn copies_needed(load: &AdapterLoad) -> usize {
    if load.waiting == 0 && load.in_flight < PRELOAD_IN_FLIGHT_MIN {
        return 0;
    }
    ((load.in_flight / IN_FLIGHT_PER_COPY).ceil() as usize).max(1)
}

/// Returns whether requests wait for an adapter whose holders are all much more loaded than
/// another runner that holds the model.
fn is_overloaded(draft: &PlanDraft<'_>, model: &ModelId, load: &AdapterLoad) -> bool {
    if load.waiting == 0 {
        return false;
    }
    let least = |with_adapter: bool| {
        let all = 0..draft.runners.len();
        let holders = all.filter(|runner| draft.is_loaded(*runner, model));
        let holders = holders.map(|runner| &draft.runners[runner]);
        let holders = holders.filter(|state| holds(state, model, &load.adapter) == with_adapter);
        holders
            .map(|state| f64::from(state.in_flight))
            .min_by(f64::total_cmp)
    };
    match (least(true), least(false)) {
        (Some(holder), Some(other)) => holder > other * OVERLOAD_RATIO + OVERLOAD_GAP,
        _ => false,
    }
}

/// Returns whether a runner holds or loads an adapter.
fn holds(state: &PlannedRunner, model: &ModelId, adapter: &AdapterId) -> bool {
    let adapters = state.copy(model).map(|copy| copy.adapters.as_slice());
    let mut adapters = adapters.unwrap_or_default().iter();
    adapters.any(|resident| resident.adapter == *adapter && resident.state != CopyState::Unloading)
}

/// Returns how many ready runners hold or load an adapter.
fn count_copies(draft: &PlanDraft<'_>, model: &ModelId, adapter: &AdapterId) -> usize {
    let ready = draft.runners.iter().filter(|state| state.is_ready);
    let copies = ready.filter(|state| {
        let copy = state.copy(model);
        copy.is_some_and(|copy| copy.state != CopyState::Unloading) && holds(state, model, adapter)
    });
    copies.count()
}

/// A runner that can load an adapter, with the adapter that it evicts first.
struct Candidate {
    runner: usize,
    evicted: Option<(ModelId, AdapterId)>,
    cost: f64,
}

/// Plans the load of an adapter at the runner with the lowest cost that holds its model, or the
/// eviction that must come first.
///
/// # Errors
///
/// Returns why no order is possible now.
fn add_copy(
    draft: &mut PlanDraft<'_>,
    model: &ModelId,
    load: &AdapterLoad,
) -> Result<(), LeftOutCause> {
    let mut best: Option<Candidate> = None;
    for runner in 0..draft.runners.len() {
        let state = &draft.runners[runner];
        if !state.accepts_orders || state.pending_load.is_some() || !draft.is_loaded(runner, model)
        {
            continue;
        }
        let listed = state.copy(model).map(|copy| copy.adapters.as_slice());
        let mut adapters = listed.unwrap_or_default().iter();
        if adapters.any(|resident| resident.adapter == load.adapter)
            || count_loading(state) >= LOADS_PER_RUNNER_MAX
        {
            continue;
        }
        let Some(evicted) = choose_eviction(draft, runner, model) else {
            continue;
        };
        let cost = f64::from(state.in_flight)
            + if evicted.is_some() {
                EVICTION_COST
            } else {
                0.0
            };
        if best.as_ref().is_none_or(|best| cost < best.cost) {
            best = Some(Candidate {
                runner,
                evicted,
                cost,
            });
        }
    }
    let Some(Candidate {
        runner, evicted, ..
    }) = best
    else {
        return Err(match draft.count_loaded(model) {
            0 => LeftOutCause::NoModelCopy,
            _ => LeftOutCause::NoRunner,
        });
    };
    match evicted {
        None => draft.load_adapter(runner, model.clone(), load.adapter.clone()),
        Some((model, adapter)) => draft.unload_adapter(runner, model, adapter),
    }
    Ok(())
}

/// Returns how many adapters a runner is loading.
fn count_loading(state: &PlannedRunner) -> usize {
    let adapters = state.models.iter().flat_map(|copy| &copy.adapters);
    let loading = adapters.filter(|adapter| adapter.state == CopyState::Loading);
    loading.count()
}

/// Returns the adapter to evict for an adapter of `model`: `Some(None)` if there is room already,
/// `None` if no adapter may be evicted.
fn choose_eviction(
    draft: &PlanDraft<'_>,
    runner: usize,
    model: &ModelId,
) -> Option<Option<(ModelId, AdapterId)>> {
    let state = &draft.runners[runner];
    let engine = draft.input.engine;
    let adapter_mb = engine.model(model)?.adapter_mb;
    let (free_mb, free_slots) = state.adapter_room(engine);
    if free_slots > 0 && free_mb >= adapter_mb {
        return Some(None);
    }
    let mut idle: Option<(f64, &ModelId, &AdapterId)> = None;
    for copy in &state.models {
        let adapters = copy.adapters.iter();
        for adapter in adapters.filter(|adapter| adapter.state == CopyState::Loaded) {
            let unused = draft.input.now.duration_since(adapter.used_at);
            if adapter.in_flight > 0 || unused < EVICTION_IDLE_MIN {
                continue;
            }
            let value = copy_value(draft, &copy.model, &adapter.adapter) - unused.as_secs_f64();
            if idle.is_none_or(|(least, ..)| value < least) {
                idle = Some((value, &copy.model, &adapter.adapter));
            }
        }
    }
    let (_, model, adapter) = idle?;
    Some(Some((model.clone(), adapter.clone())))
}

/// Returns the value of keeping a copy of an adapter; the copy with the lowest one is evicted.
fn copy_value(draft: &PlanDraft<'_>, model: &ModelId, adapter: &AdapterId) -> f64 {
    let Some(load) = draft.load(model) else {
        return 0.0;
    };
    let mut adapters = load.adapters.iter();
    let load = adapters.find(|load| load.adapter == *adapter);
    let copies = count_copies(draft, model, adapter).max(1);
    load.map_or(0.0, |load| 10.0 * load.in_flight / copies as f64)
}
