//! The recent senders of datagrams, so that each numbered change of a sender is applied once.

use {
    super::{Sender, sequence_window::SequenceWindow},
    crate::traffic::NodeName,
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// How long a sender is kept after its last datagram.
const SENDER_TTL_S: u64 = 30;

/// How long after its last datagram a sender receives datagrams although it is not a listed peer.
const REPLY_ADDRESS_TTL_S: u64 = 5;

/// The largest number of senders in the table.
const SENDERS_MAX: usize = 2_048;

#[derive(Debug)]
struct KnownSender {
    node: NodeName,
    address: SocketAddr,
    start: u64,
    window: SequenceWindow,
    received_at: Instant,
}

/// The recent senders, sorted by name.
#[derive(Debug, Default)]
pub(super) struct SenderTable {
    senders: Vec<KnownSender>,
}

impl SenderTable {
    /// Records a datagram of a sender.
    pub(super) fn record(&mut self, sender: &Sender, address: SocketAddr, now: Instant) {
        match self
            .senders
            .binary_search_by(|known| known.node.cmp(&sender.node))
        {
            Ok(position) => {
                let known = &mut self.senders[position];
                known.received_at = now;
                known.address = address;
                if known.start != sender.start {
                    known.start = sender.start;
                    known.window = SequenceWindow::default();
                }
            }
            Err(position) if self.senders.len() < SENDERS_MAX => {
                let known = KnownSender {
                    node: sender.node.clone(),
                    address,
                    start: sender.start,
                    window: SequenceWindow::default(),
                    received_at: now,
                };
                self.senders.insert(position, known);
            }
            Err(_) => {}
        }
    }

    /// Records a numbered change of a sender and returns whether it is new.
    pub(super) fn insert_change(&mut self, node: &NodeName, number: u64) -> bool {
        let Ok(position) = self.senders.binary_search_by(|known| known.node.cmp(node)) else {
            return false;
        };
        self.senders[position].window.insert(number)
    }

    /// Returns the addresses of the most recent senders.
    pub(super) fn recent_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let span = Duration::from_secs(REPLY_ADDRESS_TTL_S);
        let recent = self
            .senders
            .iter()
            .filter(|known| now < known.received_at + span);
        recent.map(|known| known.address).collect()
    }

    pub(super) fn expire(&mut self, now: Instant) {
        let kept = Duration::from_secs(SENDER_TTL_S);
        self.senders.retain(|known| now < known.received_at + kept);
    }
}
