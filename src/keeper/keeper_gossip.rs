//! Exchanges heads and runner states with other keepers, and discovers members while the
//! key-value service is unavailable.

use {
    super::{HeadOffer, KeeperState},
    crate::{
        config::Head,
        fleet::RunnerState,
        membership::{Member, with_jitter},
        peer::{Credentials, PeerClient, PeerError},
        units::{DataCentreName, VmName},
    },
    rand::seq::{IndexedRandom, IteratorRandom},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::sync::mpsc,
};

/// The fan-out of an update: the number of keepers to which it is sent.
const FANOUT: usize = 3;

/// Sends updates to other keepers and exchanges heads with them.
#[derive(Debug)]
pub struct KeeperGossip {
    vm: VmName,
    address: SocketAddr,
    credentials: Credentials,
    seeds: Vec<SocketAddr>,
    state: KeeperState,
    offers: mpsc::Sender<HeadOffer>,
}

impl KeeperGossip {
    /// Creates the gossip of one keeper; newer heads of peers are sent to `offers`.
    pub fn new(
        vm: VmName,
        address: SocketAddr,
        credentials: Credentials,
        seeds: Vec<SocketAddr>,
        state: KeeperState,
        offers: mpsc::Sender<HeadOffer>,
    ) -> Self {
        Self {
            vm,
            address,
            credentials,
            seeds,
            state,
            offers,
        }
    }

    /// Periodically exchanges heads with a random keeper. Must run in a `LocalSet`.
    pub async fn exchange_periodically(&self, interval: Duration) {
        loop {
            if let Some(address) = self.pick_peer()
                && let Err(error) = self.exchange_with(address).await
            {
                log::debug!("gossip: exchange with {address} failed: {error}");
            }
            tokio::time::sleep(with_jitter(interval)).await;
        }
    }

    /// Sends each new head in force to random keepers. Must run in a `LocalSet`.
    pub async fn push_revisions(self: Rc<Self>) {
        let mut revisions = self.state.watch_revision();
        while revisions.changed().await.is_ok() {
            let Some(head) = self.state.head() else {
                continue;
            };
            for address in self.pick_peers() {
                let gossip = self.clone();
                let head = head.clone();
                tokio::task::spawn_local(async move { gossip.push_head(address, head).await });
            }
        }
    }

    /// Sends states of leaving or lost runners to random keepers. Must run in a `LocalSet`.
    pub fn push_urgent_states(self: &Rc<Self>, states: Vec<RunnerState>) {
        self.send_runners(states, self.pick_peers());
    }

    /// Sends changed runner states to the keepers of a data centre. Must run in a `LocalSet`.
    pub fn report_to_data_centre(
        self: &Rc<Self>,
        states: Vec<RunnerState>,
        data_centre: &DataCentreName,
    ) {
        let local = self
            .others()
            .into_iter()
            .filter(|member| member.data_centre == *data_centre);
        self.send_runners(states, local.map(|member| member.address).collect());
    }

    /// Notifies one keeper of changed runners. Needs a `LocalSet`.
    pub fn report_to_vm(self: &Rc<Self>, states: Vec<RunnerState>, vm: &VmName) {
        let others = self.others().into_iter();
        let found = others.filter(|member| member.vm == *vm);
        self.send_runners(states, found.map(|member| member.address).collect());
    }

    fn send_runners(self: &Rc<Self>, states: Vec<RunnerState>, addresses: Vec<SocketAddr>) {
        let states = Rc::new(states);
        for address in addresses {
            let gossip = self.clone();
            let states = states.clone();
            tokio::task::spawn_local(async move {
                let sent = async {
                    let peer = PeerClient::connect(address, &gossip.credentials).await?;
                    peer.report_runners(&states).await
                };
                if let Err(error) = sent.await {
                    log::debug!("gossip: sending runner states to {address} failed: {error}");
                }
            });
        }
    }

    async fn push_head(&self, address: SocketAddr, head: Head) {
        let sent = async {
            let peer = PeerClient::connect(address, &self.credentials).await?;
            peer.exchange_head(Some(&head), self.address).await
        };
        if let Err(error) = sent.await {
            log::debug!("gossip: sending the head to {address} failed: {error}");
        }
    }

    async fn exchange_with(&self, address: SocketAddr) -> Result<(), PeerError> {
        let peer = PeerClient::connect(address, &self.credentials).await?;
        let own = self.state.head();
        let received = peer.exchange_head(own.as_ref(), self.address).await?;
        if let Some(head) = received {
            self.offer(head, address);
        }
        if self.others().is_empty() {
            let members = peer.members().await?;
            self.state.update_members(|known| {
                let joined = members.into_iter().map(|member| known.insert(member));
                joined.fold(false, |changed, joined| changed | joined)
            });
        }
        Ok(())
    }

    fn offer(&self, head: Head, address: SocketAddr) {
        let known = self.state.head().map(|head| head.revision);
        if known >= Some(head.revision) {
            return;
        }
        let offer = HeadOffer {
            head,
            peer: Some(address),
        };
        let _ = self.offers.try_send(offer);
    }

    fn others(&self) -> Vec<Member> {
        let mut members = self.state.members();
        members.retain(|member| member.vm != self.vm);
        members
    }

    fn pick_peer(&self) -> Option<SocketAddr> {
        let others = self.others();
        match others.choose(&mut rand::rng()) {
            Some(member) => Some(member.address),
            None => self.seeds.choose(&mut rand::rng()).copied(),
        }
    }

    fn pick_peers(&self) -> Vec<SocketAddr> {
        let others = self.others();
        let addresses = others.iter().map(|member| member.address);
        addresses.sample(&mut rand::rng(), FANOUT)
    }
}
