//! Chooses the runner for the first copy of a model.

use {
    super::{
        CopyState, PlannedRunner,
        evictions::{EvictionPolicy, choose_evictions},
        model_step::{
            Candidate, MoveEvaluation, candidates, load_source_cost, retain_best, share_until_ready,
        },
        plan_draft::PlanDraft,
    },
    crate::traffic::ModelSpec,
};

/// The congestion that a request counts for while no runner holds its model.
const ABSENT_REQUEST_CONGESTION: f64 = 2.0;
/// How long a load may be overdue before its runner is no longer a candidate, in seconds.
const LOAD_OVERDUE_MAX_S: f64 = 1.0;

/// Chooses the runner with the lowest cost for the first copy of a model.
///
/// Last copies of less used models are evicted only if no runner can have room without that.
pub(super) fn choose_first_copy(draft: &PlanDraft<'_>, spec: &ModelSpec) -> Option<Candidate> {
    let mut found = candidates(draft, spec, EvictionPolicy::for_first_copy());
    found.extend(deferred_candidates(draft, spec));
    let can_load = draft.cold_loads_available > 0 || draft.is_cached(&spec.name);
    if found.is_empty() && can_load && !has_room_without_displacement(draft, spec) {
        found = candidates(draft, spec, displacing_policy(draft, spec));
    }
    if found.is_empty() {
        return None;
    }
    let evaluation = MoveEvaluation::new(draft);
    retain_best(draft, &evaluation, draft.in_flight(&spec.name), &mut found);
    let costs = found.into_iter().map(|candidate| {
        let absent_requests = draft.in_flight(&spec.name) * share_until_ready(&candidate)
            + displaced_load(draft, &candidate);
        let congestion = evaluation.mean_congestion(draft, spec, &candidate);
        (
            congestion + absent_requests * ABSENT_REQUEST_CONGESTION + candidate.cost,
            candidate,
        )
    });
    let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, candidate)| candidate)
}

/// Returns the policy for the first copy of a model for which last copies may be evicted.
pub(super) fn displacing_policy(draft: &PlanDraft<'_>, spec: &ModelSpec) -> EvictionPolicy {
    let waiting = draft.load(&spec.name).map_or(0, |load| load.waiting);
    EvictionPolicy::displacing(draft.in_flight(&spec.name), waiting)
}

/// Returns whether a ready runner has or can make room for a model without evicting another
/// model's last copy, even if the runner cannot take an order now.
fn has_room_without_displacement(draft: &PlanDraft<'_>, spec: &ModelSpec) -> bool {
    let mut ready = (0..draft.runners.len()).filter(|runner| draft.runners[*runner].is_ready);
    ready.any(|runner| {
        choose_evictions(draft, runner, spec, EvictionPolicy::for_first_copy()).is_some()
    })
}

/// Returns the load of the models whose last copies a candidate evicts.
fn displaced_load(draft: &PlanDraft<'_>, candidate: &Candidate) -> f64 {
    let evicted = candidate.evicted.iter();
    let last = evicted.filter(|model| draft.copies(model) == [candidate.runner]);
    last.map(|model| draft.in_flight(model)).sum()
}

/// Returns the busy runners that have room for a model once their current load is done.
fn deferred_candidates(draft: &PlanDraft<'_>, spec: &ModelSpec) -> Vec<Candidate> {
    let mut found = Vec::new();
    for (runner, state) in draft.runners.iter().enumerate() {
        let is_busy = state.is_ready && !state.accepts_orders && state.pending_load.is_none();
        if !is_busy || state.copy(&spec.name).is_some() {
            continue;
        }
        let has_room = choose_evictions(draft, runner, spec, EvictionPolicy::for_first_copy())
            .is_some_and(|all| all.is_empty());
        if let Some(remaining_s) = remaining_load_s(draft, state).filter(|_| has_room) {
            found.push(Candidate {
                runner,
                ready_in_s: remaining_s + state.load_s(spec),
                cost: load_source_cost(draft, runner, &spec.name),
                evicted: Vec::new(),
                is_deferred: true,
            });
        }
    }
    found
}

/// Returns the time until a runner's current load is done, in seconds; `None` if the load is
/// overdue or there is none.
fn remaining_load_s(draft: &PlanDraft<'_>, state: &PlannedRunner) -> Option<f64> {
    let mut copies = state.models.iter();
    let copy = copies.find(|copy| copy.state == CopyState::Loading)?;
    let elapsed_s = draft.input.now.duration_since(copy.since).as_secs_f64();
    let remaining_s = state.load_s(draft.input.engine.model(&copy.model)?) - elapsed_s;
    (remaining_s > -LOAD_OVERDUE_MAX_S).then_some(remaining_s.max(0.0))
}
