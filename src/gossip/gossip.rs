//! Sends and takes the datagrams between nodes.

use {
    super::{
        DATAGRAM_BYTES_MAX, Datagram, DatagramError, Item, Sender, decode, encode,
        note_outbox::NoteOutbox, open, seal, sender_table::SenderTable,
    },
    crate::{
        copies::OrderListener,
        dispatch::{NodeReport, ResidencyNote, RunnerBoard},
        leader::PeerNode,
        security::KeyRing,
        traffic::{ConfigVersion, NodeName},
    },
    rand::RngExt,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        net::UdpSocket,
        sync::watch,
        time::{Instant, sleep, sleep_until},
    },
};

/// The time between two rounds while something changes.
const ROUND_MS: u64 = 30;

/// What each peer adds to it in larger systems.
const ROUND_PEER_MS: u64 = 4;

/// The longest time between two rounds; each of these tells everything.
const FULL_ROUND_MS: u64 = 500;

/// The shortest time between two rounds when something is urgent.
const URGENT_ROUND_MS: u64 = 10;

/// The time after which a socket that failed is read again.
const SOCKET_PAUSE_MS: u64 = 20;

/// A configuration that a peer has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerConfig {
    /// The peer.
    pub node: NodeName,
    /// The version of its configuration.
    pub version: ConfigVersion,
}

/// The exchange of state with all peers.
#[derive(Debug)]
pub struct Gossip {
    node: NodeName,
    start: u64,
    peers: watch::Receiver<Vec<PeerNode>>,
    seeds: Vec<SocketAddr>,
    board: Arc<RunnerBoard>,
    socket: UdpSocket,
    outbox: Mutex<NoteOutbox>,
    senders: Mutex<SenderTable>,
    newest_config: watch::Sender<Option<PeerConfig>>,
    keys: KeyRing,
}

impl Gossip {
    /// Makes the exchange of a node over a bound socket.
    ///
    /// The nodes at `seeds` are told while no peer is known.
    pub fn new(
        node: NodeName,
        peers: watch::Receiver<Vec<PeerNode>>,
        seeds: Vec<SocketAddr>,
        board: Arc<RunnerBoard>,
        socket: UdpSocket,
    ) -> Arc<Self> {
        Arc::new(Self {
            node,
            start: rand::rng().random(),
            peers,
            seeds,
            board,
            socket,
            outbox: Mutex::default(),
            senders: Mutex::default(),
            newest_config: watch::Sender::new(None),
            keys: KeyRing::default(),
        })
    }

    /// Returns the newest configuration that a peer was heard to have.
    pub fn newest_config(&self) -> watch::Receiver<Option<PeerConfig>> {
        self.newest_config.subscribe()
    }

    /// Returns the keys that seal datagrams; none at first.
    pub fn keys(&self) -> &KeyRing {
        &self.keys
    }

    /// Sends and takes datagrams, and never ends.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(self.send_rounds(), self.take_datagrams());
    }

    async fn send_rounds(&self) {
        let mut peers = self.peers.clone();
        let mut config = self.board.traffic.subscribe();
        let mut sent_at = Instant::now();
        let mut full_at = sent_at;
        loop {
            let round = self.round();
            let soonest = sent_at + round;
            let urgent = sent_at + Duration::from_millis(URGENT_ROUND_MS);
            let notes_wait = !lock(&self.outbox).is_empty();
            tokio::select! {
                () = self.board.changed_urgently() => sleep_until(urgent).await,
                Ok(()) = config.changed() => {}
                Ok(()) = peers.changed() => full_at = sent_at,
                () = async { self.board.changed().await; sleep_until(soonest).await } => {}
                () = sleep_until(soonest), if notes_wait => {}
                () = sleep_until(full_at) => {}
            }
            let now = Instant::now();
            let all = now >= full_at;
            if all {
                full_at = now + round.max(Duration::from_millis(FULL_ROUND_MS));
                self.board.expire();
                lock(&self.senders).expire(now);
            }
            self.send(all).await;
            sent_at = Instant::now();
        }
    }

    fn round(&self) -> Duration {
        let peers = self.peers.borrow().len() as u64;
        Duration::from_millis((peers * ROUND_PEER_MS).clamp(ROUND_MS, FULL_ROUND_MS))
    }

    async fn send(&self, all: bool) {
        let report = self.board.tell(all);
        let version = self.board.traffic.version().map_or(0, |version| version.0);
        let sender = Sender {
            node: self.node.clone(),
            start: self.start,
            config_version: version,
        };
        let mut items = lock(&self.outbox).round();
        items.extend(report.leaving.into_iter().map(Item::Leaving));
        items.extend(report.unreachable.into_iter().map(Item::Unreachable));
        items.extend(report.demand.into_iter().map(Item::Demand));
        let loads = report.loads.into_iter();
        items.extend(loads.map(|(key, load)| Item::Load(key, load)));
        let datagrams = encode(&sender, items).into_iter();
        let datagrams: Vec<_> = datagrams.map(|it| seal(it, &self.keys)).collect();
        for address in self.addresses() {
            for datagram in &datagrams {
                if let Err(cause) = self.socket.send_to(datagram, address).await {
                    log::debug!("gossip: {address} cannot be told: {cause}");
                }
            }
        }
    }

    /// Returns the peers, and those that were heard of late though the store does not list them.
    fn addresses(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let mut addresses: Vec<_> = peers.iter().map(|peer| peer.gossip_address).collect();
        if addresses.is_empty() {
            addresses.extend(&self.seeds);
        }
        addresses.extend(lock(&self.senders).addresses(Instant::now()));
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    async fn take_datagrams(&self) {
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX * 4];
        loop {
            let (read, address) = match self.socket.recv_from(&mut buffer).await {
                Ok((length, address)) => {
                    let content = open(&buffer[..length], &self.keys);
                    (content.ok_or(DatagramError::Seal).and_then(decode), address)
                }
                Err(cause) => {
                    log::debug!("gossip: the socket failed: {cause}");
                    sleep(Duration::from_millis(SOCKET_PAUSE_MS)).await;
                    continue;
                }
            };
            match read {
                Ok(datagram) if datagram.sender.node != self.node => self.hear(datagram, address),
                Ok(_) => {}
                Err(cause) => log::debug!("gossip: {address}: {cause}"),
            }
        }
    }

    fn hear(&self, datagram: Datagram, address: SocketAddr) {
        let sender = datagram.sender;
        let mut report = NodeReport::default();
        {
            let mut senders = lock(&self.senders);
            senders.hear(&sender, address, Instant::now());
            for item in datagram.items {
                match item {
                    Item::Load(key, load) => report.loads.push((key, load)),
                    Item::Demand(demand) if demand.requests_per_s.is_finite() => {
                        report.demand.push(demand);
                    }
                    Item::Demand(_) => {}
                    Item::Leaving(key) => report.leaving.push(key),
                    Item::Note(number, note) if senders.is_new(&sender.node, number) => {
                        report.notes.push(note);
                    }
                    Item::Note(..) => {}
                    Item::Unreachable(key) => report.unreachable.push(key),
                }
            }
        }
        self.board.hear(&sender.node, report);
        self.hear_config(&sender);
    }

    fn hear_config(&self, sender: &Sender) {
        let version = ConfigVersion(sender.config_version);
        self.newest_config.send_if_modified(|known| {
            let newer = known
                .as_ref()
                .map_or(ConfigVersion(0), |known| known.version)
                < version;
            if newer {
                let node = sender.node.clone();
                *known = Some(PeerConfig { node, version });
            }
            newer
        });
    }
}

impl OrderListener for Gossip {
    fn changed(&self, notes: &[ResidencyNote]) {
        {
            let mut outbox = lock(&self.outbox);
            notes.iter().for_each(|note| outbox.add(note));
        }
        for note in notes {
            self.board.note_residency(note);
        }
        self.board.tell_at_once();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
