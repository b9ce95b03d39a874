//! The residency changes that are still to be sent directly to all peers.

use {super::Item, crate::dispatch::ResidencyChange};

/// The number of rounds that repeat a change, since datagrams get lost.
const SEND_ROUNDS: u8 = 3;

/// A change with the rounds that are left.
#[derive(Debug)]
struct PendingChange {
    number: u64,
    residency_change: ResidencyChange,
    rounds_left: u8,
}

/// The changes that are still to be sent, in order.
#[derive(Debug, Default)]
pub(super) struct ResidencyOutbox {
    pending_changes: Vec<PendingChange>,
    last_number: u64,
}

impl ResidencyOutbox {
    pub(super) fn add(&mut self, residency_change: &ResidencyChange) {
        self.last_number += 1;
        self.pending_changes.push(PendingChange {
            number: self.last_number,
            residency_change: residency_change.clone(),
            rounds_left: SEND_ROUNDS,
        });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pending_changes.is_empty()
    }

    /// Returns the changes for the next round.
    pub(super) fn next_round(&mut self) -> Vec<Item> {
        let items = self.pending_changes.iter_mut().map(|change| {
            change.rounds_left -= 1;
            Item::Note(change.number, change.residency_change.clone())
        });
        let items = items.collect();
        self.pending_changes.retain(|change| change.rounds_left > 0);
        items
    }
}
