//! Sends reserved orders to an engine, each at most once.

use {
    super::runner_task::RunnerTask,
    crate::engine::{EngineError, Order, OrderReply},
    tokio::time::timeout,
};

/// The outcome of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SendOutcome {
    /// The engine executed or refused the order.
    Answered,
    /// The engine accepted the order and is executing it.
    Running,
    /// The engine did not answer; the order may still take effect.
    Unanswered,
}

impl RunnerTask {
    /// Sends a reserved order once, without retries.
    pub(super) async fn send(&mut self, order: Order) -> SendOutcome {
        let id = order.id;
        let answer = timeout(self.context.timing.order_timeout, self.engine.send(order)).await;
        self.evidence.record_sent(id);
        match answer {
            Ok(Ok(OrderReply::Accepted)) => SendOutcome::Running,
            Ok(Err(EngineError::Unknown(_))) | Err(_) => {
                log::warn!(
                    "fleet: runner {} did not answer order {id}, which may still take effect",
                    self.runner.name
                );
                SendOutcome::Unanswered
            }
            Ok(reply) => {
                self.record_fencing(&reply);
                self.evidence.record_answered(id);
                SendOutcome::Answered
            }
        }
    }
}
