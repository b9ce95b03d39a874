//! Takes the configuration from peers where the store does not give it.

use {
    super::{CONFIG_PATH, Formats, PeerAddresses, peer_client::PeerClient},
    crate::{
        gossip::PeerConfig,
        membership::Backoff,
        security::Tls,
        traffic::{TrafficBoard, offer_bytes},
    },
    std::{future::pending, sync::Arc, time::Duration},
    tokio::{sync::watch, time},
};

/// How long the store has before peers are asked.
const STORE_FIRST: Duration = Duration::from_millis(400);

/// The first pause between two rounds of questions.
const ROUND_PAUSE_FIRST: Duration = Duration::from_millis(500);

/// The longest pause between two rounds.
const ROUND_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Takes a configuration from peers while none is known or a peer has a newer one.
pub struct PeerConfigFollower {
    formats: Arc<dyn Formats>,
    traffic: Arc<TrafficBoard>,
    peers: PeerAddresses,
    newest: watch::Receiver<Option<PeerConfig>>,
    client: PeerClient,
}

impl PeerConfigFollower {
    /// Makes a follower that offers what it fetches to a board.
    ///
    /// `newest` tells the newest configuration that a peer was heard to have.
    pub fn new(
        formats: Arc<dyn Formats>,
        traffic: Arc<TrafficBoard>,
        peers: PeerAddresses,
        newest: watch::Receiver<Option<PeerConfig>>,
    ) -> Self {
        Self {
            formats,
            traffic,
            peers,
            newest,
            client: PeerClient::new(None),
        }
    }

    /// Asks peers by TLS, if given.
    pub fn with_tls(self, tls: Option<Tls>) -> Self {
        Self {
            client: PeerClient::new(tls),
            ..self
        }
    }

    /// Follows the peers for ever.
    pub async fn run(mut self) {
        loop {
            self.wait_until_behind().await;
            time::sleep(STORE_FIRST).await;
            let mut backoff = Backoff::new(ROUND_PAUSE_FIRST, ROUND_PAUSE_MAX);
            while self.is_behind() {
                self.ask_round().await;
                time::sleep(backoff.next_delay()).await;
            }
        }
    }

    async fn wait_until_behind(&mut self) {
        while !self.is_behind() {
            if self.newest.changed().await.is_err() {
                pending::<()>().await;
            }
        }
    }

    fn is_behind(&self) -> bool {
        let newest = self.newest.borrow();
        let newest = newest.as_ref().map(|newest| newest.version);
        match self.traffic.version() {
            None => true,
            Some(version) => newest.is_some_and(|newest| version < newest),
        }
    }

    /// Asks the peers in turn, the one with the newest configuration first.
    async fn ask_round(&self) {
        let newest = self.newest.borrow().clone();
        let first = newest.as_ref().map(|newest| &newest.node);
        for address in self.peers.control(first) {
            if !self.is_behind() {
                return;
            }
            if let Some(bytes) = self.client.get(address, CONFIG_PATH).await {
                offer_bytes(&*self.formats, &self.traffic, bytes);
            }
        }
    }
}
