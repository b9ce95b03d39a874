//! Determines the outcome of unanswered orders on one owned runner.

use {
    super::{PendingOrder, RecordError, ReservationError, TxnExtras, runner_task::RunnerTask},
    crate::{
        config::Fencing,
        engine::{Action, EngineError, EngineRole, EngineStatus, Order, OrderReply},
        units::{Epoch, OrderId},
    },
    tokio::time::timeout,
};

/// The number of polls with an unanswered order after which the fencing epoch is raised.
const UNANSWERED_POLLS_MAX: u32 = 2;

impl RunnerTask {
    /// Reloads the record when another owner may have changed it, and raises the fencing epoch
    /// above one that the engine reported.
    ///
    /// # Errors
    ///
    /// Fails when another owner holds the record, or when the store fails.
    pub(super) async fn check_ownership(&mut self) -> Result<(), RecordError> {
        let known_epoch = self.context.runner_states.known_epoch(&self.runner.name);
        if known_epoch > self.handle.epoch() {
            return Err(RecordError::OwnershipLost);
        }
        if let Some(newest) = self.fenced_by {
            self.handle.reload().await?;
            self.raise_epoch(newest.next()).await?;
            self.fenced_by = None;
        }
        if self.awaits_former_owners()
            && let Err(RecordError::OwnershipLost) = self.handle.reload().await
        {
            return Err(RecordError::OwnershipLost);
        }
        Ok(())
    }

    /// Returns whether a former owner has yet to release orders or its adapter window.
    fn awaits_former_owners(&self) -> bool {
        let record = self.handle.record();
        let me = self.handle.owner();
        let orders = record.orders.iter();
        let formers = record.former_owners.iter();
        let by_others = orders
            .filter(|pending| pending.sender != *me && !pending.given_up)
            .count();
        let former = formers.filter(|former| !former.given_up).count();
        self.runner.fencing == Fencing::Ignored && by_others + former > 0
    }

    /// Records the newer fencing epoch that the engine's refusal names.
    pub(super) fn record_fencing(&mut self, reply: &Result<OrderReply, EngineError>) {
        if let Ok(OrderReply::Fenced { newest }) | Err(EngineError::Fenced(newest)) = reply {
            self.fenced_by = Some(*newest);
        }
    }

    /// Raises the record's fencing epoch to at least `minimum`.
    async fn raise_epoch(&mut self, minimum: Epoch) -> Result<(), RecordError> {
        self.handle
            .change(&TxnExtras::default(), |record| {
                record.epoch = record.epoch.max(minimum);
                Ok::<_, ReservationError>(())
            })
            .await
    }

    /// Updates the evidence about unanswered orders from the record and the fleet view.
    pub(super) fn update_evidence(&mut self) {
        let view = self.context.view.borrow().clone();
        let me = self.context.me.vm.clone();
        self.evidence.update(
            self.handle.record(),
            self.adapters.orders().iter(),
            |owner| view.has_ended(owner, &me),
        );
    }

    /// Removes orders that were never sent because their write to the record seemed to fail.
    pub(super) async fn withdraw_unsent(&mut self) -> Result<(), RecordError> {
        let orders = self.handle.record().orders.iter();
        let unsent: Vec<_> = orders
            .filter(|pending| self.evidence.was_never_sent(pending))
            .cloned()
            .collect();
        self.remove_orders(&unsent).await
    }

    /// Removes orders that were never sent.
    async fn remove_orders(&mut self, unsent: &[PendingOrder]) -> Result<(), RecordError> {
        if unsent.is_empty() {
            return Ok(());
        }
        self.handle
            .change(&TxnExtras::default(), |record| {
                for pending in unsent {
                    record.withdraw(pending.id());
                }
                Ok::<_, ReservationError>(())
            })
            .await
    }

    /// Returns whether the engine enforces fencing and has not seen this owner's epoch.
    pub(super) fn needs_barrier(&self) -> bool {
        let engine_known = self.handle.record().engine.0 > 0;
        engine_known
            && self.runner.fencing == Fencing::Honoured
            && !self.evidence.has_barrier(self.handle.epoch())
    }

    /// Sends a barrier, after which the engine rejects orders with earlier fencing epochs.
    ///
    /// A barrier is an order that sets the engine's role to its present value, so the role is read
    /// first. Returns false when the engine does not answer that read.
    pub(super) async fn send_barrier(&mut self) -> bool {
        let engine = self.handle.record().engine;
        if self
            .role
            .is_none_or(|(incarnation, _)| incarnation != engine)
        {
            let Some(status) = self.request_status().await else {
                return false;
            };
            self.role = Some((status.incarnation, status.role));
        }
        if let Some((incarnation, role)) = self.role
            && incarnation == engine
        {
            self.send_role(role).await;
        }
        true
    }

    /// Sends an order that sets the engine's role.
    async fn send_role(&mut self, role: EngineRole) {
        let epoch = self.handle.epoch();
        let order = Order {
            id: OrderId::random(),
            epoch,
            incarnation: self.handle.record().engine,
            action: Action::ChangeRole { role },
        };
        let sent = timeout(self.context.timing.order_timeout, self.engine.send(order));
        let Ok(reply) = sent.await else {
            return;
        };
        if matches!(reply, Ok(OrderReply::Done | OrderReply::Accepted)) {
            self.evidence.record_barrier(epoch);
        }
        self.record_fencing(&reply);
    }

    /// Raises the fencing epoch when this owner's orders stay unanswered.
    pub(super) async fn raise_epoch_if_unanswered(
        &mut self,
        status: &EngineStatus,
    ) -> Result<(), RecordError> {
        let epoch = self.handle.epoch();
        let orders = self.handle.record().orders.iter();
        let has_unanswered = orders
            .chain(self.adapters.orders())
            .any(|pending| pending.order.epoch == epoch && !pending.is_in_progress(&status.models));
        if !has_unanswered || self.runner.fencing == Fencing::Ignored {
            self.unanswered_polls = 0;
            return Ok(());
        }
        if self.order_poll_delay < self.context.timing.status_interval {
            return Ok(());
        }
        self.unanswered_polls += 1;
        if self.unanswered_polls < UNANSWERED_POLLS_MAX {
            return Ok(());
        }
        self.unanswered_polls = 0;
        self.raise_epoch(epoch.next()).await
    }
}
