//! Plans the next orders to the runners of one service.

use super::{
    PlanInput, PlannedOrder,
    adapter_step::plan_adapters,
    model_step::{grow, keep_one_of_each, resume_pending_loads},
    plan_draft::Draft,
};

/// Plans the next orders, at most one for each runner.
///
/// A runner gets its next order from a later plan, once it has replied to this one.
pub fn plan(input: &PlanInput<'_>) -> Vec<PlannedOrder> {
    let mut draft = Draft::new(input);
    if input.may_move_models {
        resume_pending_loads(&mut draft);
        keep_one_of_each(&mut draft);
    }
    plan_adapters(&mut draft);
    if input.may_move_models && input.may_add_copies {
        grow(&mut draft);
    }
    draft.orders
}
