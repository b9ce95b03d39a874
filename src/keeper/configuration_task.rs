//! Fetches and activates configurations whose heads the store or other keepers announce.

use {
    super::{HeadOffer, KeeperState},
    crate::{
        config::{
            BlobSource, FetchPolicy, Head, HeadComparison, HeadOrigin, HistoryFault, Publisher,
            StoreBlobSource, fetch_snapshot,
        },
        membership::with_jitter,
        peer::{Credentials, PeerBlobs},
        store::SharedStore,
    },
    rand::seq::IndexedRandom,
    std::{net::SocketAddr, time::Duration},
    tokio::sync::mpsc,
};

/// The pause after a failed fetch of a configuration.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How often the history of revisions is checked for faults.
const HISTORY_INTERVAL: Duration = Duration::from_secs(10);

/// Fetches and activates configurations whose heads the store or other keepers announce.
pub struct ConfigurationTask {
    state: KeeperState,
    store: SharedStore,
    credentials: Credentials,
    policy: FetchPolicy,
}

impl ConfigurationTask {
    /// Creates the task; nothing runs before `run` or `repair_history`.
    pub fn new(state: KeeperState, store: SharedStore, credentials: Credentials) -> Self {
        Self {
            state,
            store,
            credentials,
            policy: FetchPolicy::default(),
        }
    }

    /// Activates configurations with newer heads until the channel of offers closes.
    ///
    /// Must run in a `LocalSet`.
    pub async fn run(&self, mut offers: mpsc::Receiver<HeadOffer>) {
        while let Some(offer) = offers.recv().await {
            let origin = match offer.peer {
                Some(_) => HeadOrigin::Peer,
                None => HeadOrigin::Store,
            };
            match self.state.record_head(&offer.head, origin) {
                HeadComparison::Newer => self.activate_offered(offer).await,
                HeadComparison::Diverged => {
                    let revision = offer.head.revision;
                    log::error!("config: another configuration has the same revision {revision}.");
                }
                HeadComparison::InForce | HeadComparison::Older => {}
            }
        }
    }

    async fn activate_offered(&self, offer: HeadOffer) {
        let revision = offer.head.revision;
        if self.fetch(&offer.head, offer.peer).await {
            log::info!("config: revision {revision} is in force.");
        } else {
            log::warn!("config: fetching revision {revision} failed; retrying.");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn fetch(&self, head: &Head, peer: Option<SocketAddr>) -> bool {
        let held = match self.state.in_force() {
            Some(current) => current.snapshot.blobs().to_vec(),
            None => Vec::new(),
        };
        let members = self.state.members();
        let any = members
            .choose(&mut rand::rng())
            .map(|member| member.address);
        let peer = peer
            .or(any)
            .map(|address| PeerBlobs::new(address, self.credentials.clone()));
        let store = StoreBlobSource::new(self.store.as_ref());
        let mut sources: Vec<&dyn BlobSource> = Vec::new();
        if let Some(peer) = &peer {
            sources.push(peer);
        }
        sources.push(&store);
        tokio::time::sleep(self.policy.random_jitter(&mut rand::rng())).await;
        match fetch_snapshot(head.digest, &held, &sources, &self.policy).await {
            Ok(snapshot) => match self.state.activate_if_newer(head.clone(), snapshot) {
                Ok(_) => true,
                Err(error) => {
                    log::error!("config: revision {} was rejected: {error}", head.revision);
                    false
                }
            },
            Err(error) => {
                log::debug!(
                    "config: fetching revision {} failed: {error}",
                    head.revision
                );
                false
            }
        }
    }

    /// Writes the head in force back to a store that was restored from an older copy, and reports
    /// two configurations with one revision.
    pub async fn repair_history(&self) {
        let publisher = Publisher::new(self.store.clone());
        loop {
            tokio::time::sleep(with_jitter(HISTORY_INTERVAL)).await;
            for fault in self.state.history_faults() {
                match fault {
                    HistoryFault::StoreBehind(head) => self.write_back(&publisher, &head).await,
                    HistoryFault::Diverged(head) => {
                        let revision = head.revision;
                        log::error!("config: two configurations call themselves {revision}.");
                    }
                }
            }
        }
    }

    async fn write_back(&self, publisher: &Publisher, stored: &Head) {
        let Some(current) = self.state.in_force() else {
            return;
        };
        log::error!(
            "config: the store holds revision {}, but {} is in force; writing it back.",
            stored.revision,
            current.head.revision
        );
        match publisher
            .restore_head(&current.head, &current.snapshot)
            .await
        {
            Ok(true) => {
                self.state.record_head(&current.head, HeadOrigin::Store);
            }
            Ok(false) => {}
            Err(error) => log::warn!("config: writing the head back to the store failed: {error}"),
        }
    }
}
