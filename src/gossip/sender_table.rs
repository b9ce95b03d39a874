//! The recent senders of datagrams, so that each numbered change of a sender is applied once.

use {
    super::{Sender, seen_numbers::SeenNumbers},
    crate::traffic::NodeName,
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// How long a sender is kept after its last datagram.
const SILENT_S: u64 = 30;

/// How long after its last datagram a sender receives datagrams although it is not a listed peer.
const ANSWERED_S: u64 = 5;

/// The largest number of senders in the table.
const SENDERS_MAX: usize = 2_048;

#[derive(Debug)]
struct Known {
    node: NodeName,
    address: SocketAddr,
    start: u64,
    seen: SeenNumbers,
    heard_at: Instant,
}

/// The recent senders, sorted by name.
#[derive(Debug, Default)]
pub(super) struct SenderTable {
    known: Vec<Known>,
}

impl SenderTable {
    /// Records a datagram of a sender.
    pub(super) fn hear(&mut self, sender: &Sender, address: SocketAddr, now: Instant) {
        match self
            .known
            .binary_search_by(|known| known.node.cmp(&sender.node))
        {
            Ok(position) => {
                let known = &mut self.known[position];
                known.heard_at = now;
                known.address = address;
                if known.start != sender.start {
                    known.start = sender.start;
                    known.seen = SeenNumbers::default();
                }
            }
            Err(position) if self.known.len() < SENDERS_MAX => {
                let known = Known {
                    node: sender.node.clone(),
                    address,
                    start: sender.start,
                    seen: SeenNumbers::default(),
                    heard_at: now,
                };
                self.known.insert(position, known);
            }
            Err(_) => {}
        }
    }

    /// Records a numbered change of a sender and returns whether it is new.
    pub(super) fn is_new(&mut self, node: &NodeName, number: u64) -> bool {
        let Ok(position) = self.known.binary_search_by(|known| known.node.cmp(node)) else {
            return false;
        };
        self.known[position].seen.is_new(number)
    }

    /// Returns the addresses of the most recent senders.
    pub(super) fn addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let span = Duration::from_secs(ANSWERED_S);
        let recent = self
            .known
            .iter()
            .filter(|known| now < known.heard_at + span);
        recent.map(|known| known.address).collect()
    }

    pub(super) fn expire(&mut self, now: Instant) {
        let kept = Duration::from_secs(SILENT_S);
        self.known.retain(|known| now < known.heard_at + kept);
    }
}
