//! Tells some peers how slow the runners of this node's streams are now.

use {
    super::{DatagramPurpose, Gossip, Item, Sender, encode, gossip::lock},
    crate::dispatch::SpeedReport,
    rand::seq::IndexedRandom,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// The interval between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(150);

/// The peers that a round goes to, drawn anew each time.
///
/// The cost of a node stays the same however many nodes there are, and a runner's state reaches
/// all nodes through those that run its streams.
const PEERS_PER_ROUND: usize = 4;

impl Gossip {
    /// Sends rounds until the future is dropped; services whose runners are equally fast send
    /// nothing.
    pub(super) async fn send_speeds(&self) {
        loop {
            sleep(ROUND_INTERVAL).await;
            let reports = self.registry.speed_reports();
            let may_send = lock(&self.aggregation).budget.is_free(Instant::now());
            if reports.is_empty() || !may_send {
                continue;
            }
            let sender = Sender {
                node: self.node.clone(),
                start: self.start,
                config_version: self.config_version(),
            };
            // Nodes that don't know this item drop its datagrams, so these hold nothing else.
            let datagrams = encode(&sender, reports.into_iter().map(Item::Speed));
            for address in self.drawn_peers() {
                let sizes = datagrams.iter().map(Vec::len);
                lock(&self.aggregation).budget.spend(sizes, Instant::now());
                for datagram in &datagrams {
                    self.send_to(datagram, address, DatagramPurpose::Speed)
                        .await;
                }
            }
        }
    }

    fn drawn_peers(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let drawn = peers.sample(&mut rand::rng(), PEERS_PER_ROUND);
        drawn.map(|peer| peer.gossip_address).collect()
    }
}

/// Returns the reports of a datagram that holds reports of speeds.
pub(super) fn speed_reports(items: &[Item]) -> Vec<SpeedReport> {
    let reports = items.iter().filter_map(|item| match item {
        Item::Speed(report) => Some(*report),
        _ => None,
    });
    reports.collect()
}
