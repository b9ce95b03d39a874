//! How a stand-in engine takes and applies orders.

use {
    super::{
        OrderFate, Stage, StandinEngine,
        begin::{begin, is_load},
        standin_engine::State,
    },
    crate::{
        config::Fencing,
        engine::{Action, EngineRole, Order, OrderReply},
        standin::{BrokenOff, weights::LoadKind},
        units::{AdapterName, Incarnation, ModelName, OrderId},
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// The time between two looks whether the last request on a model is done, in milliseconds.
const IDLE_CHECK_INTERVAL_MS: u64 = 5;

impl StandinEngine {
    /// Takes an order under the fault switches.
    ///
    /// # Errors
    ///
    /// Fails when the order or its answer is lost.
    pub async fn receive(&self, order: Order) -> Result<OrderReply, BrokenOff> {
        let fate = self.faults_mut().take_order_fate();
        match fate {
            OrderFate::Normal => Ok(self.apply(order)),
            OrderFate::Lost => Err(BrokenOff),
            OrderFate::AnswerLost => {
                self.apply(order);
                Err(BrokenOff)
            }
            OrderFate::Late => {
                self.apply_late(order);
                Err(BrokenOff)
            }
            OrderFate::Doubled => {
                self.apply_late(order.clone());
                Ok(self.apply(order))
            }
        }
    }

    /// Applies an order; loads and unloads go on after it returns.
    pub fn apply(&self, order: Order) -> OrderReply {
        let mut state = self.state();
        if order.incarnation != state.incarnation {
            return refused("the order is meant for another start");
        }
        if self.settings().fencing == Fencing::Honoured {
            if order.epoch < state.orders.newest {
                state.record.orders_fenced += 1;
                let newest = state.orders.newest;
                return OrderReply::Fenced { newest };
            }
            state.orders.newest = order.epoch;
        }
        if !state.orders.note(order.id) {
            state.record.orders_repeated += 1;
            let finished = state.orders.is_finished(order.id);
            return if finished {
                OrderReply::Done
            } else {
                OrderReply::Accepted
            };
        }
        let begun = begin(&mut state, &order.action);
        let settings = self.settings();
        let over = state
            .residents
            .overcommit(settings.memory_mib, settings.adapter_pool_mib);
        if begun.is_ok() && is_load(&order.action) {
            state.record.note_overcommit(over);
        }
        if let Err(reason) = begun {
            state.orders.finish(order.id);
            return refused(reason);
        }
        drop(state);
        tokio::spawn(self.clone().finish(order));
        OrderReply::Accepted
    }

    fn apply_late(&self, order: Order) {
        let late = Duration::from_millis(self.faults().late_ms);
        let engine = self.clone();
        tokio::spawn(async move {
            sleep(late).await;
            engine.apply(order);
        });
    }

    /// Does the part of an order that takes time.
    async fn finish(self, order: Order) {
        let Order {
            id,
            incarnation,
            action,
            ..
        } = order;
        match action {
            Action::LoadModel { model, .. } => self.load_model(id, incarnation, model).await,
            Action::LoadAdapter { adapter, .. } => {
                self.load_adapter(id, incarnation, adapter).await;
            }
            Action::UnloadModel { model } => self.unload_model(id, incarnation, model).await,
            Action::UnloadAdapter { adapter } => {
                self.unload_adapter(id, incarnation, adapter).await;
            }
            Action::ChangeRole { role } => self.change_role(id, incarnation, role).await,
        }
    }

    async fn load_model(&self, id: OrderId, start: Incarnation, model: ModelName) {
        let there = self.weights().load(LoadKind::Model).await;
        self.complete(id, start, |state| {
            if !there {
                state.residents.remove_model(model.as_str());
            } else if let Some(model) = state.residents.model_mut(model.as_str())
                && model.stage == Stage::Loading
            {
                model.stage = Stage::Ready;
            }
        });
    }

    async fn load_adapter(&self, id: OrderId, start: Incarnation, adapter: AdapterName) {
        let there = self.weights().load(LoadKind::Adapter).await;
        self.complete(id, start, |state| {
            if !there {
                state.residents.remove_adapter(adapter.as_str());
            } else if let Some(adapter) = state.residents.adapter_mut(adapter.as_str())
                && adapter.stage == Stage::Loading
            {
                adapter.stage = Stage::Ready;
            }
        });
    }

    async fn unload_model(&self, id: OrderId, start: Incarnation, name: ModelName) {
        self.pause_for_change().await;
        self.wait_until(start, |state| {
            let model = state.residents.model_mut(name.as_str());
            model.is_none_or(|model| model.running == 0)
        })
        .await;
        self.complete(id, start, |state| {
            state.residents.remove_model(name.as_str())
        });
    }

    async fn unload_adapter(&self, id: OrderId, start: Incarnation, name: AdapterName) {
        self.wait_until(start, |state| {
            let adapter = state.residents.adapter_mut(name.as_str());
            adapter.is_none_or(|adapter| adapter.running == 0)
        })
        .await;
        self.complete(id, start, |state| {
            state.residents.remove_adapter(name.as_str())
        });
    }

    async fn change_role(&self, id: OrderId, start: Incarnation, role: EngineRole) {
        self.pause_for_change().await;
        self.complete(id, start, |state| state.role = role);
    }

    async fn pause_for_change(&self) {
        sleep(Duration::from_millis(self.settings().change_ms)).await;
    }

    async fn wait_until(&self, start: Incarnation, holds: impl Fn(&mut State) -> bool) {
        loop {
            {
                let mut state = self.state();
                if state.incarnation != start || holds(&mut state) {
                    return;
                }
            }
            sleep(Duration::from_millis(IDLE_CHECK_INTERVAL_MS)).await;
        }
    }

    /// Ends an order, unless the engine was started anew since.
    fn complete(&self, id: OrderId, start: Incarnation, change: impl FnOnce(&mut State)) {
        let mut state = self.state();
        if state.incarnation == start {
            change(&mut state);
            state.orders.finish(id);
        }
    }
}

fn refused(reason: &str) -> OrderReply {
    OrderReply::Refused {
        reason: reason.to_owned(),
    }
}
