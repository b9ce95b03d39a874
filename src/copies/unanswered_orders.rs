//! Tracks orders without a reply, which may reach a runner after it has restarted.

use {
    crate::{discovery::RunnerKey, node::Order, traffic::EngineSpec},
    std::time::Duration,
    tokio::time::Instant,
};

/// How long after it was sent an order without a reply may still be carried out.
pub(super) const LATE_ORDER_MAX: Duration = Duration::from_secs(12);

/// An order without a reply, with its runner and the time at which it was sent.
#[derive(Debug, Clone)]
struct UnansweredOrder {
    runner: RunnerKey,
    order: Order,
    sent_at: Instant,
}

/// Orders that have no reply yet.
///
/// A runner rejects an order whose expected count of accepted orders is wrong, but the count
/// starts at zero again after a restart under the same name. An order to the earlier incarnation
/// that arrives late can then be accepted, so the memory it would use stays reserved.
#[derive(Debug, Clone, Default)]
pub struct UnansweredOrders(Vec<UnansweredOrder>);

impl UnansweredOrders {
    /// Records an order that is being sent.
    pub fn insert(&mut self, runner: RunnerKey, order: Order, sent_at: Instant) {
        self.0
            .retain(|entry| sent_at.duration_since(entry.sent_at) < LATE_ORDER_MAX);
        let entry = UnansweredOrder {
            runner,
            order,
            sent_at,
        };
        self.0.push(entry);
    }

    /// Removes an order whose reply arrived.
    pub fn remove(&mut self, runner: &RunnerKey, order: &Order) {
        self.0
            .retain(|entry| entry.runner != *runner || entry.order != *order);
    }

    /// Returns the memory, in megabytes, and the adapter slots that late orders to earlier
    /// incarnations of a runner may still use.
    pub fn reserved(&self, runner: &RunnerKey, engine: &EngineSpec, now: Instant) -> (f64, usize) {
        let (mut mb, mut slots) = (0.0, 0);
        for entry in &self.0 {
            let is_earlier = entry.runner.id == runner.id && entry.runner != *runner;
            if !is_earlier || now.duration_since(entry.sent_at) >= LATE_ORDER_MAX {
                continue;
            }
            match &entry.order {
                Order::LoadModel(model) => {
                    let spec = engine.model(model);
                    mb += spec.map_or(engine.weights_memory_mb, |spec| spec.weights_mb);
                }
                Order::LoadAdapter(model, _) => {
                    mb += engine.model(model).map_or(0.0, |spec| spec.adapter_mb);
                    slots += 1;
                }
                Order::UnloadModel(_) | Order::UnloadAdapter(..) => {}
            }
        }
        (mb, slots)
    }
}
