//! Orders to an earlier start of a runner that may yet reach its present one.

use {
    crate::{discovery::RunnerKey, node::Order, traffic::EngineSpec},
    std::time::Duration,
    tokio::time::Instant,
};

/// How late an order whose answer did not come may be carried out.
pub(super) const LATE_MAX: Duration = Duration::from_secs(12);

#[derive(Debug, Clone)]
struct Doubt {
    runner: RunnerKey,
    order: Order,
    sent: Instant,
}

/// Orders whose answer did not come.
///
/// The number of accepted orders guards against a late order at one start of a runner, but it
/// begins anew at the next, which may keep the name.
#[derive(Debug, Clone, Default)]
pub struct Doubts(Vec<Doubt>);

impl Doubts {
    /// Notes an order that is being sent.
    pub fn add(&mut self, runner: RunnerKey, order: Order, sent: Instant) {
        self.0
            .retain(|doubt| sent.duration_since(doubt.sent) < LATE_MAX);
        let doubt = Doubt {
            runner,
            order,
            sent,
        };
        self.0.push(doubt);
    }

    /// Notes that an order was answered.
    pub fn settle(&mut self, runner: &RunnerKey, order: &Order) {
        self.0
            .retain(|doubt| doubt.runner != *runner || doubt.order != *order);
    }

    /// Returns the memory, in megabytes, and the adapter places that late orders to earlier
    /// starts of a runner may take.
    pub fn reserved(&self, runner: &RunnerKey, engine: &EngineSpec, now: Instant) -> (f64, usize) {
        let (mut mb, mut slots) = (0.0, 0);
        for doubt in &self.0 {
            let is_earlier = doubt.runner.id == runner.id && doubt.runner != *runner;
            if !is_earlier || now.duration_since(doubt.sent) >= LATE_MAX {
                continue;
            }
            match &doubt.order {
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
