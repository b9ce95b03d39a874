//! Chooses the runner for the first copy of a model.

use {
    super::{
        CopyState, PlannedRunner,
        evictions::{Claim, evictions},
        model_step::{Candidate, candidates, mean_strain, source_cost, time_share},
        plan_draft::Draft,
    },
    crate::traffic::ModelSpec,
};

/// The congestion that a request counts for while no runner holds its model.
const ABSENT_STRAIN: f64 = 2.0;
/// How long a load may be overdue before its runner is no longer a candidate, in seconds.
const OVERDUE_S: f64 = 1.0;

/// Chooses the runner with the lowest cost for the first copy of a model.
///
/// Last copies of less used models are evicted only if no runner can have room without that.
pub(super) fn choose(draft: &Draft<'_>, spec: &ModelSpec) -> Option<Candidate> {
    let mut found = candidates(draft, spec, Claim::first());
    found.extend(later_candidates(draft, spec));
    if found.is_empty() && !can_have_room(draft, spec) {
        let claim = Claim::displacing(draft.in_flight(&spec.name));
        found = candidates(draft, spec, claim);
    }
    let loads = draft.shared_loads();
    let costs = found.into_iter().map(|candidate| {
        let absent = draft.in_flight(&spec.name) * time_share(&candidate)
            + displaced_load(draft, &candidate);
        let strain = mean_strain(draft, &loads, spec, &candidate);
        (strain + absent * ABSENT_STRAIN + candidate.price, candidate)
    });
    let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, candidate)| candidate)
}

/// Returns whether a ready runner has or can make room for a model without evicting another
/// model's last copy, even if the runner cannot take an order now.
fn can_have_room(draft: &Draft<'_>, spec: &ModelSpec) -> bool {
    let mut ready = (0..draft.runners.len()).filter(|runner| draft.runners[*runner].is_ready);
    ready.any(|runner| evictions(draft, runner, spec, Claim::first()).is_some())
}

/// Returns the load of the models whose last copies a candidate evicts.
fn displaced_load(draft: &Draft<'_>, candidate: &Candidate) -> f64 {
    let evicted = candidate.evicted.iter();
    let last = evicted.filter(|model| draft.copies(model) == [candidate.runner]);
    last.map(|model| draft.in_flight(model)).sum()
}

/// Returns the busy runners that have room for a model once their current load is done.
fn later_candidates(draft: &Draft<'_>, spec: &ModelSpec) -> Vec<Candidate> {
    let mut found = Vec::new();
    for (runner, state) in draft.runners.iter().enumerate() {
        let is_busy = state.is_ready && !state.accepts_orders && state.pending_load.is_none();
        if !is_busy || state.copy(&spec.name).is_some() {
            continue;
        }
        let has_room =
            evictions(draft, runner, spec, Claim::first()).is_some_and(|all| all.is_empty());
        if let Some(rest_s) = load_rest_s(draft, state).filter(|_| has_room) {
            found.push(Candidate {
                runner,
                time_s: rest_s + state.load_s(spec),
                price: source_cost(draft, runner, &spec.name),
                evicted: Vec::new(),
                is_later: true,
            });
        }
    }
    found
}

/// Returns the time until a runner's current load is done, in seconds; `None` if the load is
/// overdue or there is none.
fn load_rest_s(draft: &Draft<'_>, state: &PlannedRunner) -> Option<f64> {
    let mut copies = state.models.iter();
    let copy = copies.find(|copy| copy.state == CopyState::Loading)?;
    let passed_s = draft.input.now.duration_since(copy.since).as_secs_f64();
    let rest_s = state.load_s(draft.input.engine.model(&copy.model)?) - passed_s;
    (rest_s > -OVERDUE_S).then_some(rest_s.max(0.0))
}
