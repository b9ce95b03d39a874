//! Fetches the list of runners from peers when the store does not provide it.

use {
    super::{PeerAddresses, RUNNERS_PATH, peer_client::PeerClient},
    crate::{
        discovery::RunnerSnapshot,
        security::Tls,
        store::{StoreHealth, StoreVersion},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::watch, time},
};

/// The time for the store to provide a list before peers are asked.
const STORE_HEAD_START: Duration = Duration::from_millis(400);

/// The delay between rounds of requests to peers.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Fetches the list of runners from peers while the node has none or during a store outage.
pub struct PeerRunnersFollower {
    peers: PeerAddresses,
    health: Arc<StoreHealth>,
    own_version: watch::Receiver<StoreVersion>,
    lists: watch::Sender<RunnerSnapshot>,
    client: PeerClient,
}

impl PeerRunnersFollower {
    /// Creates a follower that sends lists newer than `own_version` to `lists`.
    pub fn new(
        peers: PeerAddresses,
        health: Arc<StoreHealth>,
        own_version: watch::Receiver<StoreVersion>,
        lists: watch::Sender<RunnerSnapshot>,
    ) -> Self {
        Self {
            peers,
            health,
            own_version,
            lists,
            client: PeerClient::new(None),
        }
    }

    /// Sends requests to peers over TLS, if it is configured.
    pub fn with_tls(self, tls: Option<Tls>) -> Self {
        Self {
            client: PeerClient::new(tls),
            ..self
        }
    }

    /// Fetches newer lists and never returns.
    pub async fn run(self) {
        time::sleep(STORE_HEAD_START).await;
        let mut round = 0;
        loop {
            if self.has_no_list() {
                self.fetch_from_any().await;
            } else if self.health.is_out() {
                self.fetch_from_next(round).await;
                round += 1;
            }
            time::sleep(ROUND_INTERVAL).await;
        }
    }

    fn has_no_list(&self) -> bool {
        *self.own_version.borrow() == StoreVersion::default()
    }

    /// Asks the peers one after the other until one of them has a newer list.
    async fn fetch_from_any(&self) {
        for address in self.peers.control_addresses(None) {
            if self.fetch_from(address).await {
                return;
            }
        }
    }

    /// Asks one peer, a different one in each round.
    async fn fetch_from_next(&self, round: usize) {
        let addresses = self.peers.control_addresses(None);
        if !addresses.is_empty() {
            self.fetch_from(addresses[round % addresses.len()]).await;
        }
    }

    /// Requests the list of a peer; returns whether it is newer than the node's own.
    async fn fetch_from(&self, address: SocketAddr) -> bool {
        let own_version = *self.own_version.borrow();
        let path = format!("{RUNNERS_PATH}?after={}", own_version.0);
        let Some(bytes) = self.client.get(address, &path).await else {
            return false;
        };
        match serde_json::from_slice::<RunnerSnapshot>(&bytes) {
            Ok(list) if list.is_newer_than(own_version) => {
                self.lists.send_replace(list);
                true
            }
            Ok(_) => false,
            Err(cause) => {
                log::debug!("discovery: the list of peer {address} cannot be decoded: {cause}");
                false
            }
        }
    }
}
