//! Decides when an order without an answer can no longer take effect.

use {
    super::{FormerOwner, Owner, PendingOrder, RunnerRecord},
    crate::{
        config::{Fencing, Runner},
        units::{Epoch, OrderId},
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// Something that may still be sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Subject {
    Order(OrderId),
    Former(Owner, Epoch),
}

/// The evidence that one owner has on orders in doubt.
#[derive(Debug)]
pub(super) struct Doubts {
    me: Owner,
    first_epoch: Epoch,
    /// The newest fencing number that the engine is known to have seen.
    barrier: Option<Epoch>,
    /// The orders that this owner sent or will never send.
    returned: Vec<OrderId>,
    /// The orders that the engine answered for good.
    answered: Vec<OrderId>,
    /// Since when something can't be sent any more, as seen from here.
    unsendable: Vec<(Subject, Instant)>,
}

impl Doubts {
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

    /// Notes that the sending of an own order has ended.
    pub(super) fn note_returned(&mut self, id: OrderId) {
        self.returned.push(id);
    }

    /// Notes that the engine answered an own order for good.
    pub(super) fn note_answered(&mut self, id: OrderId) {
        self.answered.push(id);
    }

    /// Notes that the engine has seen a fencing number.
    pub(super) fn note_barrier(&mut self, epoch: Epoch) {
        self.barrier = Some(epoch);
    }

    /// Returns whether the engine is known to refuse all senders before this owner.
    pub(super) fn is_fenced_off(&self) -> bool {
        self.barrier.is_some_and(|epoch| epoch >= self.first_epoch)
    }

    /// Returns whether the engine is known to refuse orders below this fencing number.
    pub(super) fn has_barrier(&self, epoch: Epoch) -> bool {
        self.barrier.is_some_and(|barrier| barrier >= epoch)
    }

    /// Returns whether an order is this owner's and its sending has not begun.
    pub(super) fn was_never_sent(&self, open: &PendingOrder) -> bool {
        let own = open.sender == self.me && open.order.epoch >= self.first_epoch;
        own && !self.returned.contains(&open.id())
    }

    /// Starts the clock of everything that can't be sent any more, and drops what is settled.
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

    fn cannot_be_sent(&self, open: &PendingOrder) -> bool {
        let own = open.sender == self.me;
        let earlier = open.order.epoch < self.first_epoch;
        open.given_up || (own && (earlier || self.returned.contains(&open.id())))
    }

    /// Takes down what is over at this moment.
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

    /// Forgets own orders that are not open any more.
    pub(super) fn forget_settled(&mut self, is_open: impl Fn(OrderId) -> bool) {
        self.returned.retain(|id| is_open(*id));
        self.answered.retain(|id| is_open(*id));
    }
}

/// What was over at one moment; a status asked for later shows its effects.
#[derive(Debug)]
pub(super) struct Verdict {
    barrier: Option<Epoch>,
    answered: Vec<OrderId>,
    lapsed: Vec<Subject>,
}

impl Verdict {
    /// Returns whether an order can change nothing any more.
    pub(super) fn is_over(&self, open: &PendingOrder) -> bool {
        self.answered.contains(&open.id())
            || self.barrier.is_some_and(|epoch| open.order.epoch < epoch)
            || self.lapsed.contains(&Subject::Order(open.id()))
    }

    /// Returns whether an earlier owner's orders can change nothing any more.
    pub(super) fn is_former_over(&self, former: &FormerOwner) -> bool {
        let subject = Subject::Former(former.owner.clone(), former.epoch);
        self.barrier.is_some_and(|epoch| former.epoch < epoch) || self.lapsed.contains(&subject)
    }
}
