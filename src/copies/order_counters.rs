//! Counts the orders that a node sent to runners.

use {
    super::LeftOut,
    crate::{
        node::{Order, OrderReply, RunnerCallError},
        telemetry::{Counter, DurationHistogram, MetricText},
    },
};

/// The values of the metric's label `kind`.
const ORDER_KINDS: [&str; 4] = [
    "load_model",
    "unload_model",
    "load_adapter",
    "unload_adapter",
];

/// The values of the metric's label `outcome`.
const ORDER_OUTCOMES: [&str; 7] = [
    "accepted",
    "already_done",
    "conflict",
    "fenced",
    "wrong_runner",
    "refused",
    "unknown",
];

/// Counters of the orders that a node has sent since it started.
#[derive(Debug, Default)]
pub struct OrderCounters {
    orders: [[Counter; ORDER_OUTCOMES.len()]; ORDER_KINDS.len()],
    /// Model loads from the weight store that were ordered.
    pub(super) cold_loads: Counter,
    /// How long plans took.
    pub(super) plan_times: DurationHistogram,
    /// Models that were asked for, had no copy and could not be loaded, summed over all plans.
    left_out: Counter,
    /// Adapters that requests waited for, had no copy and could not be loaded, summed over all
    /// plans.
    adapters_left_out: Counter,
}

impl OrderCounters {
    /// Counts an order by its outcome.
    pub fn record_reply(&self, order: &Order, reply: &Result<OrderReply, RunnerCallError>) {
        let kind = match order {
            Order::LoadModel(_) => 0,
            Order::UnloadModel(_) => 1,
            Order::LoadAdapter(..) => 2,
            Order::UnloadAdapter(..) => 3,
        };
        self.orders[kind][outcome(reply)].count();
    }

    /// Counts what a plan left out.
    pub(super) fn record_left_out(&self, left_out: &[LeftOut]) {
        let adapters = left_out.iter().filter(|entry| entry.adapter.is_some());
        let adapters = adapters.count();
        self.adapters_left_out.add(adapters as u64);
        self.left_out.add((left_out.len() - adapters) as u64);
    }

    /// Appends the counters to the text of a metrics page.
    pub fn render(&self, text: &mut MetricText) {
        let name = "ggt_orders_total";
        text.begin(name, "counter", "Orders to runners, by kind and outcome.");
        for (kind, counters) in ORDER_KINDS.iter().zip(&self.orders) {
            for (outcome, counter) in ORDER_OUTCOMES.iter().zip(counters) {
                let labels = [("kind", *kind), ("outcome", *outcome)];
                text.value(name, &labels, counter.get() as f64);
            }
        }
        let help = "Model loads from the weight store that were ordered.";
        let loads = self.cold_loads.get() as f64;
        text.single("ggt_weight_store_loads_total", "counter", help, loads);
        let name = "ggt_plan_seconds";
        text.begin(name, "histogram", "How long the plans of a service took.");
        text.histogram(name, &[], &self.plan_times);
        let help =
            "Models that were asked for, had no copy and could not be loaded, over all plans.";
        let left_out = self.left_out.get() as f64;
        text.single("ggt_plan_left_out_total", "counter", help, left_out);
        let name = "ggt_plan_adapters_left_out_total";
        let help = "Adapters that requests waited for, had no copy and could not be loaded, over all plans.";
        text.single(name, "counter", help, self.adapters_left_out.get() as f64);
    }
}

/// Returns the position in [`ORDER_OUTCOMES`] that a reply counts under.
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
