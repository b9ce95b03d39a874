//! Applies the replies to orders to the tracked state of a runner.

use {
    super::{
        CopyState,
        runner_record::{ADAPTER_LOAD_TIME, REPORT_DELAY, RunnerRecord, WRONG_RUNNER_PAUSE},
    },
    crate::{
        node::{Order, OrderReply, RunnerCallError},
        traffic::{EngineSpec, ModelId},
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// The delay before a report is requested after an order without a reply.
const UNANSWERED_REPORT_DELAY: Duration = Duration::from_millis(150);
/// The pause before the next order after the runner refused one.
const REFUSED_ORDER_PAUSE: Duration = Duration::from_secs(3);

impl RunnerRecord {
    /// Applies the reply to the order that was sent last.
    pub fn apply_reply(
        &mut self,
        reply: &Result<OrderReply, RunnerCallError>,
        engine: &EngineSpec,
        now: Instant,
    ) {
        self.call_in_progress = false;
        let Ok(reply) = reply else {
            self.report_at = Some(now + UNANSWERED_REPORT_DELAY);
            return;
        };
        let Some(order) = self.unresolved_order.take() else {
            return;
        };
        match reply {
            OrderReply::Accepted => self.apply_accepted(order, engine, now),
            OrderReply::AlreadyDone => self.apply_already_done(order),
            OrderReply::Fenced => self.revert(&order),
            OrderReply::Conflict => {
                self.revert(&order);
                self.report_at = Some(now + REPORT_DELAY);
            }
            OrderReply::WrongRunner => {
                self.revert(&order);
                self.paused_until = now + WRONG_RUNNER_PAUSE;
            }
            OrderReply::Refused => {
                let key = &self.state.key;
                log::warn!(
                    runner:% = key.id, born_unix_ms = key.born_unix_ms, order:? = order;
                    "copies: a runner refused an order."
                );
                self.revert(&order);
                self.paused_until = now + REFUSED_ORDER_PAUSE;
                self.report_at = Some(now + REPORT_DELAY);
            }
        }
    }

    /// Tracks an order that the runner has accepted.
    fn apply_accepted(&mut self, order: Order, engine: &EngineSpec, now: Instant) {
        self.accepted_orders = self.accepted_orders.map(|count| count + 1);
        self.accepted_at = Some(now);
        match order {
            Order::LoadModel(model) => {
                // A runner accepts a load only after it has finished the unload before.
                self.state.pending_release = None;
                let time = self.load_time(&model, engine);
                self.loading = Some((model, now + time));
            }
            Order::UnloadModel(model) => self.unloading = Some((model, now)),
            Order::LoadAdapter(..) => self.adapters_loaded_at = Some(now + ADAPTER_LOAD_TIME),
            Order::UnloadAdapter(model, adapter) => {
                // Requests use the adapter, which keeps its slot until a report shows it gone.
                self.state.record_adapter_use(&model, &adapter, now);
                self.adapter_report_at = Some(now + REPORT_DELAY);
            }
        }
    }

    /// Applies the effect of an order that the runner had already carried out.
    fn apply_already_done(&mut self, order: Order) {
        match order {
            Order::LoadModel(model) => self.state.set_model_state(&model, CopyState::Loaded),
            Order::UnloadModel(model) => self.state.remove_model(&model),
            Order::LoadAdapter(model, adapter) => {
                self.state
                    .set_adapter_state(&model, &adapter, CopyState::Loaded);
            }
            Order::UnloadAdapter(model, adapter) => {
                // The runner unloads an adapter at once and counts the order as accepted.
                self.accepted_orders = self.accepted_orders.map(|count| count + 1);
                self.state.remove_adapter(&model, &adapter);
            }
        }
    }

    /// Returns how long the runner takes to load a model.
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

    /// Reverts the state change that was made when the order was sent.
    pub(super) fn revert(&mut self, order: &Order) {
        match order {
            Order::LoadModel(model) => self.state.remove_model(model),
            Order::UnloadModel(model) => self.state.set_model_state(model, CopyState::Loaded),
            Order::LoadAdapter(model, adapter) => self.state.remove_adapter(model, adapter),
            Order::UnloadAdapter(model, adapter) => {
                self.state
                    .set_adapter_state(model, adapter, CopyState::Loaded);
            }
        }
    }
}
