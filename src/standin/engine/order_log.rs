//! The orders that a stand-in engine has seen.

use crate::units::{Epoch, OrderId};

/// The finished orders that the status reports.
const FINISHED_MAX: usize = 256;

/// The newest fencing number, the orders seen and those finished.
#[derive(Debug, Clone, Default)]
pub(super) struct OrderLog {
    pub(super) newest: Epoch,
    seen: Vec<OrderId>,
    finished: Vec<OrderId>,
}

impl OrderLog {
    /// Notes an order; returns whether it is new.
    pub(super) fn note(&mut self, id: OrderId) -> bool {
        match self.seen.binary_search(&id) {
            Ok(_) => false,
            Err(at) => {
                self.seen.insert(at, id);
                true
            }
        }
    }

    /// Notes that an order is finished.
    pub(super) fn finish(&mut self, id: OrderId) {
        if self.finished.contains(&id) {
            return;
        }
        if self.finished.len() == FINISHED_MAX {
            self.finished.remove(0);
        }
        self.finished.push(id);
    }

    pub(super) fn is_finished(&self, id: OrderId) -> bool {
        self.finished.contains(&id)
    }

    pub(super) fn finished(&self) -> Vec<OrderId> {
        self.finished.clone()
    }
}
