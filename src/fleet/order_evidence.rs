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
enum Subject {
    Order(OrderId),
    Former(Owner, Epoch),
}

/// One owner's evidence about the unanswered orders of a runner.
#[derive(Debug)]
pub(super) struct Doubts {
    me: Owner,
    first_epoch: Epoch,
    /// The newest fencing epoch that the engine is known to have seen.
    barrier: Option<Epoch>,
    /// This owner's orders whose sending has ended.
    returned: Vec<OrderId>,
    /// The orders to which the engine gave a final reply.
    answered: Vec<OrderId>,
    /// The orders and former owners that can no longer send, and since when this owner knows.
    unsendable: Vec<(Subject, Instant)>,
}

impl Doubts {
    /// Creates the evidence of an owner whose first fencing epoch is `first_epoch`.
    pub(super) fn new(me: Owner, first_epoch: Epoch) -> Self {
        Self {
            me,
            first_epoch,
            barrier: None,
            returned: Vec::new(),
            answered: Vec::new(),
            unsendable: Vec::new(),
        }
    }

    /// Records that the sending of one of this owner's orders has ended.
    pub(super) fn note_returned(&mut self, id: OrderId) {
        self.returned.push(id);
    }

    /// Records that the engine gave a final reply to one of this owner's orders.
    pub(super) fn note_answered(&mut self, id: OrderId) {
        self.answered.push(id);
    }

    /// Records that the engine has seen a fencing epoch.
    pub(super) fn note_barrier(&mut self, epoch: Epoch) {
        self.barrier = Some(epoch);
    }

    /// Returns whether the engine is known to reject the orders of all former owners.
    pub(super) fn is_fenced_off(&self) -> bool {
        self.barrier.is_some_and(|epoch| epoch >= self.first_epoch)
    }

    /// Returns whether the engine is known to reject orders below a fencing epoch.
    pub(super) fn has_barrier(&self, epoch: Epoch) -> bool {
        self.barrier.is_some_and(|barrier| barrier >= epoch)
    }

    /// Returns whether an order is this owner's and was never sent.
    pub(super) fn was_never_sent(&self, open: &PendingOrder) -> bool {
        let own = open.sender == self.me && open.order.epoch >= self.first_epoch;
        own && !self.returned.contains(&open.id())
    }

    /// Starts the lateness period of each order and former owner that can no longer send, and
    /// forgets those that the record no longer lists.
    pub(super) fn observe<'a>(
        &mut self,
        record: &'a RunnerRecord,
        adapter_orders: impl Iterator<Item = &'a PendingOrder>,
        is_gone: impl Fn(&Owner) -> bool,
    ) {
        let mut ended = Vec::new();
        for open in record.orders.iter().chain(adapter_orders) {
            if self.cannot_be_sent(open) || is_gone(&open.sender) {
                ended.push(Subject::Order(open.id()));
            }
        }
        for former in &record.former_owners {
            if former.given_up || former.owner == self.me || is_gone(&former.owner) {
                ended.push(Subject::Former(former.owner.clone(), former.epoch));
            }
        }
        self.unsendable
            .retain(|(subject, _)| ended.contains(subject));
        let now = Instant::now();
        for subject in ended {
            if !self.unsendable.iter().any(|(known, _)| *known == subject) {
                self.unsendable.push((subject, now));
            }
        }
    }

    /// Returns whether the sender of an order will not send it any more.
    fn cannot_be_sent(&self, open: &PendingOrder) -> bool {
        let own = open.sender == self.me;
        let earlier = open.order.epoch < self.first_epoch;
        open.given_up || (own && (earlier || self.returned.contains(&open.id())))
    }

    /// Returns which orders and former owners can have no further effect as of now.
    pub(super) fn verdict(&self, runner: &Runner) -> Verdict {
        let lateness = Duration::from_millis(runner.order_lateness_max_ms);
        let lapsed = self
            .unsendable
            .iter()
            .filter(|(_, since)| runner.fencing == Fencing::Ignored && since.elapsed() > lateness)
            .map(|(subject, _)| subject.clone())
            .collect();
        Verdict {
            barrier: self.barrier.filter(|_| runner.fencing == Fencing::Honoured),
            answered: self.answered.clone(),
            lapsed,
        }
    }

    /// Forgets this owner's orders that are no longer pending.
    pub(super) fn forget_settled(&mut self, is_open: impl Fn(OrderId) -> bool) {
        self.returned.retain(|id| is_open(*id));
        self.answered.retain(|id| is_open(*id));
    }
}

/// The orders and former owners that could have no further effect at one moment; an engine status
/// requested after that moment reflects all of their effects.
#[derive(Debug)]
pub(super) struct Verdict {
    barrier: Option<Epoch>,
    answered: Vec<OrderId>,
    lapsed: Vec<Subject>,
}

impl Verdict {
    /// Returns whether an order can have no further effect.
    pub(super) fn is_over(&self, open: &PendingOrder) -> bool {
        self.answered.contains(&open.id())
            || self.barrier.is_some_and(|epoch| open.order.epoch < epoch)
            || self.lapsed.contains(&Subject::Order(open.id()))
    }

    /// Returns whether a former owner's orders can have no further effect.
    pub(super) fn is_former_over(&self, former: &FormerOwner) -> bool {
        let subject = Subject::Former(former.owner.clone(), former.epoch);
        self.barrier.is_some_and(|epoch| former.epoch < epoch) || self.lapsed.contains(&subject)
    }
}
