//! What the answers to orders change in the account of a runner.

use {
    super::{
        CopyState,
        runner_record::{ADAPTER_TIME, REPORT_PAUSE, RunnerRecord, WRONG_RUNNER_PAUSE},
    },
    crate::{
        node::{Order, OrderReply, RunnerCallError},
        traffic::{EngineSpec, ModelId},
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// The pause before a report after an order without an answer.
const UNKNOWN_PAUSE: Duration = Duration::from_millis(150);
/// The pause after an order that the runner refused.
const REFUSED_PAUSE: Duration = Duration::from_secs(3);

impl RunnerRecord {
    /// Works in the answer to the order.
    pub fn answered(
        &mut self,
        reply: &Result<OrderReply, RunnerCallError>,
        engine: &EngineSpec,
        now: Instant,
    ) {
        self.in_call = false;
        let Ok(reply) = reply else {
            self.ask_at = Some(now + UNKNOWN_PAUSE);
            return;
        };
        let Some(order) = self.sent.take() else {
            return;
        };
        match reply {
            OrderReply::Accepted => self.accepted(order, engine, now),
            OrderReply::AlreadyDone => self.already_done(order),
            OrderReply::Fenced => self.undo(&order),
            OrderReply::Conflict => {
                self.undo(&order);
                self.ask_at = Some(now + REPORT_PAUSE);
            }
            OrderReply::WrongRunner => {
                self.undo(&order);
                self.quiet_until = now + WRONG_RUNNER_PAUSE;
            }
            OrderReply::Refused => {
                let key = &self.state.key;
                log::warn!(
                    runner:% = key.id, born_unix_ms = key.born_unix_ms, order:? = order;
                    "copies: a runner refused an order."
                );
                self.undo(&order);
                self.quiet_until = now + REFUSED_PAUSE;
                self.ask_at = Some(now + REPORT_PAUSE);
            }
        }
    }

    fn accepted(&mut self, order: Order, engine: &EngineSpec, now: Instant) {
        self.count = self.count.map(|count| count + 1);
        self.accepted_at = Some(now);
        match order {
            Order::LoadModel(model) => {
                // A runner that takes a load has finished the unload before.
                self.state.leaving = None;
                let time = self.load_time(&model, engine);
                self.loading = Some((model, now + time));
            }
            Order::UnloadModel(model) => self.unloading = Some((model, now)),
            Order::LoadAdapter(..) => self.adapters_due = Some(now + ADAPTER_TIME),
            Order::UnloadAdapter(model, adapter) => self.state.remove_adapter(&model, &adapter),
        }
    }

    fn already_done(&mut self, order: Order) {
        match order {
            Order::LoadModel(model) => self.state.set_model(&model, CopyState::Held),
            Order::UnloadModel(model) => self.state.remove_model(&model),
            Order::LoadAdapter(model, adapter) => {
                self.state.set_adapter(&model, &adapter, CopyState::Held);
            }
            Order::UnloadAdapter(model, adapter) => {
                // An adapter that goes at once counts as an accepted order.
                self.count = self.count.map(|count| count + 1);
                self.state.remove_adapter(&model, &adapter);
            }
        }
    }

    fn load_time(&self, model: &ModelId, engine: &EngineSpec) -> Duration {
        let Some(spec) = engine.model(model) else {
            return Duration::ZERO;
        };
        let seconds = if self.state.in_memory.binary_search(model).is_ok() {
            spec.load_from_memory_s
        } else if self.state.on_disk.binary_search(model).is_ok() {
            spec.load_from_disk_s
        } else {
            spec.load_from_store_s
        };
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    /// Takes back what was noted when the order was sent.
    pub(super) fn undo(&mut self, order: &Order) {
        match order {
            Order::LoadModel(model) => self.state.remove_model(model),
            Order::UnloadModel(model) => self.state.set_model(model, CopyState::Held),
            Order::LoadAdapter(model, adapter) => self.state.remove_adapter(model, adapter),
            Order::UnloadAdapter(model, adapter) => {
                self.state.set_adapter(model, adapter, CopyState::Held);
            }
        }
    }
}
