//! The orders that a node gave, in numbers.

use crate::{
    node::{Order, OrderReply, RunnerCallError},
    telemetry::{Counter, MetricText},
};

const KINDS: [&str; 4] = [
    "load_model",
    "unload_model",
    "load_adapter",
    "unload_adapter",
];

const OUTCOMES: [&str; 7] = [
    "accepted",
    "already_done",
    "conflict",
    "fenced",
    "wrong_runner",
    "refused",
    "unknown",
];

/// The orders that a node gave since its start.
#[derive(Debug, Default)]
pub struct OrderCounts {
    orders: [[Counter; OUTCOMES.len()]; KINDS.len()],
    pub(super) cold_loads: Counter,
}

impl OrderCounts {
    /// Counts an order by what came of it.
    pub fn answered(&self, order: &Order, reply: &Result<OrderReply, RunnerCallError>) {
        let kind = match order {
            Order::LoadModel(_) => 0,
            Order::UnloadModel(_) => 1,
            Order::LoadAdapter(..) => 2,
            Order::UnloadAdapter(..) => 3,
        };
        self.orders[kind][outcome(reply)].count();
    }

    /// Adds the counts to a text of metrics.
    pub fn render(&self, text: &mut MetricText) {
        let name = "ggt_orders_total";
        text.begin(name, "counter", "Orders to runners, by kind and outcome.");
        for (kind, counters) in KINDS.iter().zip(&self.orders) {
            for (outcome, counter) in OUTCOMES.iter().zip(counters) {
                let labels = [("kind", *kind), ("outcome", *outcome)];
                text.value(name, &labels, counter.get() as f64);
            }
        }
        let help = "Model loads from the weight store that were ordered.";
        let loads = self.cold_loads.get() as f64;
        text.single("ggt_weight_store_loads_total", "counter", help, loads);
    }
}

fn outcome(reply: &Result<OrderReply, RunnerCallError>) -> usize {
    match reply {
        Ok(OrderReply::Accepted) => 0,
        Ok(OrderReply::AlreadyDone) => 1,
        Ok(OrderReply::Conflict) => 2,
        Ok(OrderReply::Fenced) => 3,
        Ok(OrderReply::WrongRunner) => 4,
        Ok(OrderReply::Refused) => 5,
        Err(_) => 6,
    }
}
