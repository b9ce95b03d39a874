//! Logs the orders to runners.

use {
    super::{ModelLoad, PlannedOrder},
    crate::{
        node::Order,
        traffic::{AdapterId, ModelId},
    },
    log::Level,
};

/// Logs an order with the load of its model that the plan was made from.
pub(super) fn log_order(planned: &PlannedOrder, fencing_token: u64, loads: &[ModelLoad]) {
    let (level, what, model, adapter) = match &planned.order {
        Order::LoadModel(model) => (Level::Info, "loads a model", model, None),
        Order::UnloadModel(model) => (Level::Info, "drops a model", model, None),
        Order::LoadAdapter(model, name) => (Level::Debug, "loads an adapter", model, Some(name)),
        Order::UnloadAdapter(model, name) => (Level::Debug, "drops an adapter", model, Some(name)),
    };
    if level > log::max_level() {
        return;
    }
    let load = loads.iter().find(|load| load.model == *model);
    log::log!(
        level,
        runner:% = planned.runner.id,
        born_unix_ms = planned.runner.born_unix_ms,
        fencing_token = fencing_token,
        model:% = model,
        adapter:% = adapter.map_or("", AdapterId::as_str),
        from_weight_store = planned.is_cold_load,
        makes_room_for:% = planned.makes_room_for.as_ref().map_or("", ModelId::as_str),
        expected_in_flight = load.map_or(0.0, |load| load.in_flight),
        waiting = load.map_or(0, |load| load.waiting);
        "copies: a runner {what}."
    );
}
