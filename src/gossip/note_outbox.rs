//! The residency changes that are still to be sent directly to all peers.

use {super::Item, crate::dispatch::ResidencyChange};

/// The number of rounds that repeat a change, since datagrams get lost.
const TOLD_ROUNDS: u8 = 3;

/// A change with the rounds that are left.
#[derive(Debug)]
struct Untold {
    number: u64,
    note: ResidencyChange,
    rounds: u8,
}

/// The changes that are still to be sent, in order.
#[derive(Debug, Default)]
pub(super) struct NoteOutbox {
    untold: Vec<Untold>,
    last_number: u64,
}

impl NoteOutbox {
    pub(super) fn add(&mut self, note: &ResidencyChange) {
        self.last_number += 1;
        self.untold.push(Untold {
            number: self.last_number,
            note: note.clone(),
            rounds: TOLD_ROUNDS,
        });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.untold.is_empty()
    }

    /// Returns the changes for the next round.
    pub(super) fn round(&mut self) -> Vec<Item> {
        let items = self.untold.iter_mut().map(|untold| {
            untold.rounds -= 1;
            Item::Note(untold.number, untold.note.clone())
        });
        let items = items.collect();
        self.untold.retain(|untold| untold.rounds > 0);
        items
    }
}
