//! Evidence about unanswered orders, which shows when they can no longer take effect.

use {
    super::{FormerOwner, Owner, PendingOrder, RunnerRecord},
    crate::{
        config::{Fencing, Runner},
        units::{Epoch, OrderId},
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// A source of late effects on an engine: one order, or all orders of a former owner.
#[derive(Debug, Clone, PartialEq, Eq)]
enum EffectSource {
    Order(OrderId),
    Former(Owner, Epoch),
}

/// One owner's evidence about the unanswered orders of a runner.
#[derive(Debug)]
pub(super) struct OrderEvidence {
    me: Owner,
    first_epoch: Epoch,
    /// The newest fencing epoch that the engine is known to have seen.
    barrier: Option<Epoch>,
    /// This owner's orders whose sending has ended.
    sent: Vec<OrderId>,
    /// The orders to which the engine gave a final reply.
    answered: Vec<OrderId>,
    /// The orders and former owners that can no longer send, and since when this owner knows.
    unsendable: Vec<(EffectSource, Instant)>,
}

impl OrderEvidence {
    /// Creates the evidence of an owner whose first fencing epoch is `first_epoch`.
    pub(super) fn new(me: Owner, first_epoch: Epoch) -> Self {
        Self {
            me,
            first_epoch,
            barrier: None,
            sent: Vec::new(),
            answered: Vec::new(),
            unsendable: Vec::new(),
        }
    }

    /// Records that the sending of one of this owner's orders has ended.
    pub(super) fn record_sent(&mut self, id: OrderId) {
        self.sent.push(id);
    }

    /// Records that the engine gave a final reply to one of this owner's orders.
    pub(super) fn record_answered(&mut self, id: OrderId) {
        self.answered.push(id);
    }

    /// Records that the engine has seen a fencing epoch.
    pub(super) fn record_barrier(&mut self, epoch: Epoch) {
        self.barrier = Some(epoch);
    }

    /// Returns whether the engine is known to reject the orders of all former owners.
    pub(super) fn are_former_owners_fenced(&self) -> bool {
        self.barrier.is_some_and(|epoch| epoch >= self.first_epoch)
    }

    /// Returns whether the engine is known to reject orders below a fencing epoch.
    pub(super) fn has_barrier(&self, epoch: Epoch) -> bool {
        self.barrier.is_some_and(|barrier| barrier >= epoch)
    }

    /// Returns whether an order is this owner's and was never sent.
    pub(super) fn was_never_sent(&self, pending: &PendingOrder) -> bool {
        let own = pending.sender == self.me && pending.order.epoch >= self.first_epoch;
        own && !self.sent.contains(&pending.id())
    }

    /// Starts the lateness period of each order and former owner that can no longer send, and
    /// forgets those that the record no longer lists.
    pub(super) fn update<'a>(
        &mut self,
        record: &'a RunnerRecord,
        adapter_orders: impl Iterator<Item = &'a PendingOrder>,
        has_ended: impl Fn(&Owner) -> bool,
    ) {
        let mut ended = Vec::new();
        for pending in record.orders.iter().chain(adapter_orders) {
            if self.is_unsendable(pending) || has_ended(&pending.sender) {
                ended.push(EffectSource::Order(pending.id()));
            }
        }
        for former in &record.former_owners {
            if former.given_up || former.owner == self.me || has_ended(&former.owner) {
                ended.push(EffectSource::Former(former.owner.clone(), former.epoch));
            }
        }
        self.unsendable.retain(|(source, _)| ended.contains(source));
        let now = Instant::now();
        for source in ended {
            if !self.unsendable.iter().any(|(known, _)| *known == source) {
                self.unsendable.push((source, now));
            }
        }
    }

    /// Returns whether the sender of an order will not send it any more.
    fn is_unsendable(&self, pending: &PendingOrder) -> bool {
        let own = pending.sender == self.me;
        let earlier = pending.order.epoch < self.first_epoch;
        pending.given_up || (own && (earlier || self.sent.contains(&pending.id())))
    }

    /// Returns which orders and former owners can have no further effect as of now.
    pub(super) fn resolution(&self, runner: &Runner) -> Resolution {
        let lateness = Duration::from_millis(runner.order_lateness_max_ms);
        let past_lateness = self
            .unsendable
            .iter()
            .filter(|(_, since)| runner.fencing == Fencing::Ignored && since.elapsed() > lateness)
            .map(|(source, _)| source.clone())
            .collect();
        Resolution {
            barrier: self.barrier.filter(|_| runner.fencing == Fencing::Honoured),
            answered: self.answered.clone(),
            past_lateness,
        }
    }

    /// Forgets this owner's orders that are no longer pending.
    pub(super) fn retain_pending(&mut self, is_pending: impl Fn(OrderId) -> bool) {
        self.sent.retain(|id| is_pending(*id));
        self.answered.retain(|id| is_pending(*id));
    }
}

/// The orders and former owners that could have no further effect at one moment; an engine status
/// requested after that moment reflects all of their effects.
#[derive(Debug)]
pub(super) struct Resolution {
    barrier: Option<Epoch>,
    answered: Vec<OrderId>,
    past_lateness: Vec<EffectSource>,
}

impl Resolution {
    /// Returns whether an order can have no further effect.
    pub(super) fn is_order_done(&self, pending: &PendingOrder) -> bool {
        self.answered.contains(&pending.id())
            || self
                .barrier
                .is_some_and(|epoch| pending.order.epoch < epoch)
            || self
                .past_lateness
                .contains(&EffectSource::Order(pending.id()))
    }

    /// Returns whether a former owner's orders can have no further effect.
    pub(super) fn is_former_owner_done(&self, former: &FormerOwner) -> bool {
        let source = EffectSource::Former(former.owner.clone(), former.epoch);
        self.barrier.is_some_and(|epoch| former.epoch < epoch)
            || self.past_lateness.contains(&source)
    }
}
