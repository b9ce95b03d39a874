//! Plans the next orders to the runners of one service.

use super::{
    LeftOut, PlanInput, PlannedOrder,
    adapter_step::plan_adapters,
    model_step::{
        add_copies, cancel_pending_idle_loads, place_missing_models, resume_pending_loads,
    },
    plan_draft::PlanDraft,
};

/// Plans the next orders, at most one for each runner.
///
/// A runner gets its next order from a later plan, once it has replied to this one.
pub fn plan(input: &PlanInput<'_>) -> Vec<PlannedOrder> {
    plan_with_left_out(input).0
}

/// Plans the next orders as [`plan`] does; returns also the models and adapters that are asked for,
/// have no copy and get none, sorted by model and adapter.
pub fn plan_with_left_out(input: &PlanInput<'_>) -> (Vec<PlannedOrder>, Vec<LeftOut>) {
    let mut draft = PlanDraft::new(input);
    if input.may_move_models {
        cancel_pending_idle_loads(&mut draft);
        resume_pending_loads(&mut draft);
        place_missing_models(&mut draft);
    }
    plan_adapters(&mut draft);
    if input.may_move_models && input.may_add_copies {
        add_copies(&mut draft);
    }
    draft.left_out.sort_by(|a, b| a.key().cmp(&b.key()));
    (draft.orders, draft.left_out)
}
