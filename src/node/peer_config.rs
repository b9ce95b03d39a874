//! Fetches the configuration from peers when the store does not provide it.

use {
    super::{CONFIG_PATH, Formats, PeerAddresses, peer_client::PeerClient},
    crate::{
        gossip::PeerConfigVersion,
        membership::Backoff,
        security::Tls,
        traffic::{ActiveConfig, activate_published_config},
    },
    std::{future::pending, sync::Arc, time::Duration},
    tokio::{sync::watch, time},
};

/// The time for the store to provide a configuration before peers are asked.
const STORE_HEAD_START: Duration = Duration::from_millis(400);

/// The delay after the first round of requests to peers.
const ROUND_DELAY_MIN: Duration = Duration::from_millis(500);

/// The longest delay between rounds of requests to peers.
const ROUND_DELAY_MAX: Duration = Duration::from_secs(2);

/// Fetches the configuration from peers while the node has none or a peer announces a newer one.
pub struct PeerConfigFollower {
    formats: Arc<dyn Formats>,
    active_config: Arc<ActiveConfig>,
    peers: PeerAddresses,
    newest_announced: watch::Receiver<Option<PeerConfigVersion>>,
    client: PeerClient,
}

impl PeerConfigFollower {
    /// Creates a follower that activates fetched configurations in `active_config`.
    ///
    /// `newest_announced` holds the newest configuration version that a peer announced by gossip.
    pub fn new(
        formats: Arc<dyn Formats>,
        active_config: Arc<ActiveConfig>,
        peers: PeerAddresses,
        newest_announced: watch::Receiver<Option<PeerConfigVersion>>,
    ) -> Self {
        Self {
            formats,
            active_config,
            peers,
            newest_announced,
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

    /// Fetches newer configurations and never returns.
    pub async fn run(mut self) {
        loop {
            self.wait_until_outdated().await;
            time::sleep(STORE_HEAD_START).await;
            let mut backoff = Backoff::new(ROUND_DELAY_MIN, ROUND_DELAY_MAX);
            while self.is_outdated() {
                self.ask_peers().await;
                time::sleep(backoff.next_delay()).await;
            }
        }
    }

    async fn wait_until_outdated(&mut self) {
        while !self.is_outdated() {
            if self.newest_announced.changed().await.is_err() {
                pending::<()>().await;
            }
        }
    }

    fn is_outdated(&self) -> bool {
        let newest = self.newest_announced.borrow();
        let newest = newest.as_ref().map(|newest| newest.version);
        match self.active_config.version() {
            None => true,
            Some(version) => newest.is_some_and(|newest| version < newest),
        }
    }

    /// Asks each peer, beginning with the one that announced the newest configuration.
    ///
    /// Stops early once the node has the newest announced version.
    async fn ask_peers(&self) {
        let newest = self.newest_announced.borrow().clone();
        let first = newest.as_ref().map(|newest| &newest.node);
        for address in self.peers.control_addresses(first) {
            if !self.is_outdated() {
                return;
            }
            let own_version = self.active_config.version();
            let after = own_version.map_or(0, |version| version.0);
            let path = format!("{CONFIG_PATH}?after={after}");
            if let Some(bytes) = self.client.get(address, &path).await {
                activate_published_config(&*self.formats, &self.active_config, bytes);
            }
        }
    }
}
