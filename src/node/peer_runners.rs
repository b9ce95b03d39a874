//! Takes the list of runners from peers while the store does not give it.

use {
    super::{PeerAddresses, RUNNERS_PATH, peer_client::PeerClient},
    crate::{
        discovery::ListedRunners,
        security::Tls,
        store::{StoreHealth, StoreVersion},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::watch, time},
};

/// How long the store has before peers are asked.
const STORE_FIRST: Duration = Duration::from_millis(400);

/// The pause between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_secs(1);

/// Takes the list of runners from peers while none is known or the store is out.
pub struct PeerRunnersFollower {
    peers: PeerAddresses,
    health: Arc<StoreHealth>,
    known: watch::Receiver<StoreVersion>,
    lists: watch::Sender<ListedRunners>,
    client: PeerClient,
}

impl PeerRunnersFollower {
    /// Makes a follower that hands lists newer than `known` to `lists`.
    pub fn new(
        peers: PeerAddresses,
        health: Arc<StoreHealth>,
        known: watch::Receiver<StoreVersion>,
        lists: watch::Sender<ListedRunners>,
    ) -> Self {
        Self {
            peers,
            health,
            known,
            lists,
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
    pub async fn run(self) {
        time::sleep(STORE_FIRST).await;
        let mut round = 0;
        loop {
            if self.knows_none() {
                self.ask_all().await;
            } else if self.health.is_out() {
                self.ask_one(round).await;
                round += 1;
            }
            time::sleep(ROUND_PAUSE).await;
        }
    }

    fn knows_none(&self) -> bool {
        *self.known.borrow() == StoreVersion::default()
    }

    /// Asks the peers in turn until one has a list.
    async fn ask_all(&self) {
        for address in self.peers.control(None) {
            if self.ask(address).await {
                return;
            }
        }
    }

    /// Asks another peer in each round.
    async fn ask_one(&self, round: usize) {
        let addresses = self.peers.control(None);
        if !addresses.is_empty() {
            self.ask(addresses[round % addresses.len()]).await;
        }
    }

    /// Returns whether a peer has a newer list.
    async fn ask(&self, address: SocketAddr) -> bool {
        let known = *self.known.borrow();
        let path = format!("{RUNNERS_PATH}?after={}", known.0);
        let Some(bytes) = self.client.get(address, &path).await else {
            return false;
        };
        match serde_json::from_slice::<ListedRunners>(&bytes) {
            Ok(list) if list.is_newer_than(known) => {
                self.lists.send_replace(list);
                true
            }
            Ok(_) => false,
            Err(cause) => {
                log::debug!("discovery: the list of {address} cannot be read: {cause}");
                false
            }
        }
    }
}
