//! Follows the heads that the store and other keepers name.

use {
    super::{HeadOffer, KeeperState},
    crate::{
        config::{
            BlobSource, FetchPolicy, Head, HeadOrigin, HistoryFault, Publisher, Standing,
            StoreBlobs, fetch_snapshot,
        },
        membership::with_jitter,
        peer::{Credentials, PeerBlobs},
        store::SharedStore,
    },
    rand::seq::IndexedRandom,
    std::{net::SocketAddr, time::Duration},
    tokio::sync::mpsc,
};

/// The pause before a head whose content could not be fetched is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How often the history of revisions is looked at.
const HISTORY_INTERVAL: Duration = Duration::from_secs(10);

/// Follows the heads that the store and other keepers name.
pub struct ConfigurationTask {
    state: KeeperState,
    store: SharedStore,
    credentials: Credentials,
    policy: FetchPolicy,
}

impl ConfigurationTask {
    /// Prepares the task.
    pub fn new(state: KeeperState, store: SharedStore, credentials: Credentials) -> Self {
        Self {
            state,
            store,
            credentials,
            policy: FetchPolicy::default(),
        }
    }

    /// Follows offered heads until there are none to come. Needs a `LocalSet`.
    pub async fn run(&self, mut offers: mpsc::Receiver<HeadOffer>) {
        while let Some(offer) = offers.recv().await {
            let origin = match offer.peer {
                Some(_) => HeadOrigin::Peer,
                None => HeadOrigin::Store,
            };
            match self.state.observe_head(&offer.head, origin) {
                Standing::Newer => self.activate_offered(offer).await,
                Standing::Diverged => {
                    let revision = offer.head.revision;
                    log::error!("config: another configuration calls itself revision {revision}.");
                }
                Standing::InForce | Standing::Older => {}
            }
        }
    }

    async fn activate_offered(&self, offer: HeadOffer) {
        let revision = offer.head.revision;
        if self.fetch(&offer.head, offer.peer).await {
            log::info!("config: revision {revision} is in force.");
        } else {
            log::warn!("config: revision {revision} could not be fetched yet.");
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
        let store = StoreBlobs::new(self.store.as_ref());
        let mut sources: Vec<&dyn BlobSource> = Vec::new();
        if let Some(peer) = &peer {
            sources.push(peer);
        }
        sources.push(&store);
        tokio::time::sleep(self.policy.draw_jitter(&mut rand::rng())).await;
        match fetch_snapshot(head.digest, &held, &sources, &self.policy).await {
            Ok(snapshot) => match self.state.activate_if_newer(head.clone(), snapshot) {
                Ok(_) => true,
                Err(error) => {
                    log::error!("config: revision {} is refused: {error}", head.revision);
                    false
                }
            },
            Err(error) => {
                log::debug!("config: revision {}: {error}", head.revision);
                false
            }
        }
    }

    /// Writes the newest head back to a store that was restored from an older copy.
    pub async fn mend_history(&self) {
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
            "config: the store names revision {}, but {} is in force; writing it back.",
            stored.revision,
            current.head.revision
        );
        match publisher.reinstate(&current.head, &current.snapshot).await {
            Ok(true) => {
                self.state.observe_head(&current.head, HeadOrigin::Store);
            }
            Ok(false) => {}
            Err(error) => log::warn!("config: writing back failed: {error}"),
        }
    }
}
