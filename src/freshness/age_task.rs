//! Proves at intervals that the configuration of a node is the newest one.

use {
    super::{AgeBound, ConfigAge, PeerProof},
    crate::{
        node::Formats,
        store::{Change, Entry, SharedStore, StoreError, StoreVersion},
        traffic::{ActiveConfig, activate_published_config},
    },
    futures::future::{self, BoxFuture},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{self, Instant},
};

/// The interval at which a node without a bound looks for one.
const NO_BOUND_INTERVAL: Duration = Duration::from_secs(1);

/// The pause after a proof of a peer, which answers when it has the next one.
const PEER_PAUSE: Duration = Duration::from_millis(100);

/// The pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The peers that prove the age of a configuration.
pub trait ProofPeers: Send + Sync {
    /// Returns the peer on which this node relies; `None` if it asks the store.
    fn followed(&self) -> Option<SocketAddr>;

    /// Returns a peer to ask when the store does not answer, another one at each call.
    fn next_other(&self) -> Option<SocketAddr>;

    /// Asks a peer, which waits for its next proof for at most `wait`.
    fn ask(&self, peer: SocketAddr, wait: Duration) -> BoxFuture<'_, Option<PeerProof>>;
}

/// How a round of proving ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Round {
    ByPeer,
    ByStore,
    Failed,
}

/// Proves at intervals that the active configuration is the newest one.
///
/// A node of a large system relies on the peer through which it watches the store, and calls the
/// store if that peer falls silent. Without an answer of the store it asks other peers.
pub struct AgeTask {
    age: Arc<ConfigAge>,
    active_config: Arc<ActiveConfig>,
    store: SharedStore,
    formats: Arc<dyn Formats>,
    peers: Arc<dyn ProofPeers>,
    /// The version of the store up to which changes of the configuration are known.
    since: Option<StoreVersion>,
    is_young: bool,
}

impl AgeTask {
    /// Creates a task that records its proofs in `age`.
    pub fn new(
        age: Arc<ConfigAge>,
        active_config: Arc<ActiveConfig>,
        store: SharedStore,
        formats: Arc<dyn Formats>,
        peers: Arc<dyn ProofPeers>,
    ) -> Self {
        Self {
            age,
            active_config,
            store,
            formats,
            peers,
            since: None,
            is_young: true,
        }
    }

    /// Proves the age and never returns; does nothing while there is no bound.
    ///
    /// The first proof comes from the read of the configuration at the start, so that the peers are
    /// known before the next one is due.
    pub async fn run(mut self) {
        if let Some(bound) = self.age.bound() {
            time::sleep(bound.proof_interval() / 2).await;
        }
        loop {
            let Some(bound) = self.age.bound() else {
                time::sleep(NO_BOUND_INTERVAL).await;
                continue;
            };
            self.wait_for_config().await;
            let started = Instant::now();
            let pause = match self.prove(bound).await {
                Round::ByPeer => PEER_PAUSE,
                Round::ByStore => bound.proof_interval(),
                Round::Failed => RETRY_PAUSE,
            };
            self.log_change();
            time::sleep_until((started + pause).max(Instant::now() + PEER_PAUSE)).await;
        }
    }

    /// Waits for the first configuration, as there is nothing to prove before.
    async fn wait_for_config(&self) {
        let mut configs = self.active_config.subscribe();
        if configs.wait_for(Option::is_some).await.is_err() {
            future::pending::<()>().await;
        }
    }

    async fn prove(&mut self, bound: AgeBound) -> Round {
        if let Some(peer) = self.peers.followed() {
            let is_told = self.ask_peer(peer, bound.proof_interval()).await;
            let age = self.age.age();
            if age.is_some_and(|age| age < bound.reliance_max()) {
                return match is_told {
                    true => Round::ByPeer,
                    false => Round::Failed,
                };
            }
        }
        let sent_at = self.age.now();
        match time::timeout(bound.reliance_max(), self.read_store()).await {
            Ok(Ok(())) => {
                self.age.record(sent_at);
                return Round::ByStore;
            }
            Ok(Err(cause)) => {
                log::debug!("freshness: the configuration is not read: {cause}");
            }
            Err(_) => log::debug!("freshness: the store does not answer."),
        }
        if let Some(peer) = self.peers.next_other() {
            self.ask_peer(peer, Duration::ZERO).await;
        }
        Round::Failed
    }

    /// Asks a peer; returns whether it told a proof.
    async fn ask_peer(&self, peer: SocketAddr, wait: Duration) -> bool {
        let sent_at = self.age.now();
        let told = self.peers.ask(peer, wait).await;
        if let Some(told) = told {
            self.age.record_peer(sent_at, told);
        }
        told.is_some()
    }

    /// Activates what the store has, which includes all that it acknowledged before this call.
    async fn read_store(&mut self) -> Result<(), StoreError> {
        let key = self.formats.keys().config;
        let Some(since) = self.since else {
            let range = self.store.range(&key, 1).await?;
            range.entries.iter().for_each(|e| self.activate(&key, e));
            self.since = Some(range.version);
            return Ok(());
        };
        // After an error the whole configuration is read again.
        self.since = None;
        let batch = self.store.changes_now(&key, since).await?;
        for change in &batch.changes {
            if let Change::Put(entry) = change {
                self.activate(&key, entry);
            }
        }
        self.since = Some(since.max(batch.version));
        Ok(())
    }

    fn activate(&self, key: &str, entry: &Entry) {
        if entry.key == key {
            let bytes = entry.value.clone();
            activate_published_config(&*self.formats, &self.active_config, bytes);
        }
    }

    fn log_change(&mut self) {
        let is_young = self.age.check().is_ok();
        if is_young == self.is_young {
            return;
        }
        self.is_young = is_young;
        let age_ms = self.age.age().map_or(0, |age| age.as_millis() as u64);
        match is_young {
            true => log::info!(age_ms = age_ms; "freshness: keys are served again."),
            false => log::warn!(
                age_ms = age_ms;
                "freshness: keys are refused, as the configuration may be outdated."
            ),
        }
    }
}
