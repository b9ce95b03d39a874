//! Sends and receives the datagrams between nodes.

use {
    super::{
        DATAGRAM_BYTES_MAX, Datagram, DatagramError, Event, Exchange, Item, Kind, Sender, Traffic,
        decode, encode, gossip_counts::GossipCounts, note_outbox::NoteOutbox, open, seal,
        sender_table::SenderTable,
    },
    crate::{
        copies::ResidencyBroadcaster,
        dispatch::{NodeReport, ResidencyChange, RunnerRegistry},
        leader::PeerNode,
        security::KeyRing,
        traffic::{ConfigVersion, NodeName, RouteMap},
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

/// The interval between two rounds while the state changes.
const ROUND_MS: u64 = 30;

/// The time that each peer adds to the interval of rounds, which grows with the system.
const ROUND_PEER_MS: u64 = 4;

/// The longest interval between two rounds; a round after it sends the full state.
const FULL_ROUND_MS: u64 = 500;

/// The shortest interval between two rounds while an urgent change is pending.
const URGENT_ROUND_MS: u64 = 10;

/// The delay before the next read from the socket after an error.
const SOCKET_PAUSE_MS: u64 = 20;

/// The default of the `direct_peers_max` setting: the number of peers up to which nodes exchange
/// datagrams directly.
pub const DIRECT_PEERS_MAX: usize = 24;

/// The configuration version that a peer announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerConfig {
    /// The peer's name.
    pub node: NodeName,
    /// The version of the peer's configuration.
    pub version: ConfigVersion,
}

/// The exchange of state between a node and its peers over UDP.
#[derive(Debug)]
pub struct Gossip {
    node: NodeName,
    start: u64,
    pub(super) peers: watch::Receiver<Vec<PeerNode>>,
    seeds: Vec<SocketAddr>,
    pub(super) board: Arc<RunnerRegistry>,
    socket: UdpSocket,
    outbox: Mutex<NoteOutbox>,
    senders: Mutex<SenderTable>,
    pub(super) newest_config: watch::Sender<Option<PeerConfig>>,
    pub(super) direct_peers_max: usize,
    pub(super) exchange: Mutex<Exchange>,
    counts: GossipCounts,
    keys: KeyRing,
}

/// The times of the rounds and the changes that start one.
struct Rounds {
    sent_at: Instant,
    full_at: Instant,
    peers: watch::Receiver<Vec<PeerNode>>,
    config: watch::Receiver<Option<Arc<RouteMap>>>,
}

impl Gossip {
    /// Creates the exchange of a node over a bound socket.
    ///
    /// Datagrams go to the addresses in `seeds` while no peer is known.
    pub fn new(
        node: NodeName,
        peers: watch::Receiver<Vec<PeerNode>>,
        seeds: Vec<SocketAddr>,
        board: Arc<RunnerRegistry>,
        socket: UdpSocket,
    ) -> Arc<Self> {
        Self::with_direct_peers_max(node, peers, seeds, board, socket, DIRECT_PEERS_MAX)
    }

    /// Creates the exchange with the number of peers up to which nodes exchange datagrams directly.
    pub fn with_direct_peers_max(
        node: NodeName,
        peers: watch::Receiver<Vec<PeerNode>>,
        seeds: Vec<SocketAddr>,
        board: Arc<RunnerRegistry>,
        socket: UdpSocket,
        direct_peers_max: usize,
    ) -> Arc<Self> {
        let start = rand::rng().random();
        let exchange = Exchange::new(node.clone(), board.zone.clone(), start, Instant::now());
        Arc::new(Self {
            node,
            start,
            peers,
            seeds,
            board,
            socket,
            outbox: Mutex::default(),
            senders: Mutex::default(),
            newest_config: watch::Sender::new(None),
            direct_peers_max,
            exchange: Mutex::new(exchange),
            counts: GossipCounts::default(),
            keys: KeyRing::default(),
        })
    }

    /// Subscribes to the newest configuration version that a peer announced.
    pub fn newest_config(&self) -> watch::Receiver<Option<PeerConfig>> {
        self.newest_config.subscribe()
    }

    /// Returns the keys that authenticate datagrams; empty at first.
    pub fn keys(&self) -> &KeyRing {
        &self.keys
    }

    /// Returns the datagrams and bytes sent and received so far.
    pub fn traffic(&self) -> Traffic {
        self.counts.traffic()
    }

    /// Sends and receives datagrams until the future is dropped.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(self.send_rounds(), self.take_datagrams());
    }

    async fn send_rounds(&self) {
        let mut rounds = Rounds {
            sent_at: Instant::now(),
            full_at: Instant::now(),
            peers: self.peers.clone(),
            config: self.board.traffic.subscribe(),
        };
        loop {
            match self.takes_part() {
                true => self.summed_round(&mut rounds).await,
                false => self.direct_round(&mut rounds).await,
            }
            rounds.sent_at = Instant::now();
        }
    }

    async fn direct_round(&self, rounds: &mut Rounds) {
        let round = self.round();
        let soonest = rounds.sent_at + round;
        let urgent = rounds.sent_at + Duration::from_millis(URGENT_ROUND_MS);
        let notes_wait = !lock(&self.outbox).is_empty();
        tokio::select! {
            () = self.board.urgent_report_pending() => sleep_until(urgent).await,
            Ok(()) = rounds.config.changed() => {}
            Ok(()) = rounds.peers.changed() => rounds.full_at = rounds.sent_at,
            () = async { self.board.report_pending().await; sleep_until(soonest).await } => {}
            () = sleep_until(soonest), if notes_wait => {}
            () = sleep_until(rounds.full_at) => {}
        }
        let now = Instant::now();
        let all = now >= rounds.full_at;
        if all {
            rounds.full_at = now + round.max(Duration::from_millis(FULL_ROUND_MS));
            self.expire(now);
        }
        self.send(all).await;
    }

    async fn summed_round(&self, rounds: &mut Rounds) {
        let urgent = rounds.sent_at + Duration::from_millis(URGENT_ROUND_MS);
        let next_at = lock(&self.exchange).next_at(Instant::now());
        tokio::select! {
            () = self.board.urgent_report_pending() => sleep_until(urgent).await,
            Ok(()) = rounds.config.changed() => {}
            Ok(()) = rounds.peers.changed() => {}
            () = sleep_until(next_at) => {}
        }
        let now = Instant::now();
        if now >= rounds.full_at {
            rounds.full_at = now + Duration::from_millis(FULL_ROUND_MS);
            self.expire(now);
        }
        self.send_sums().await;
    }

    fn expire(&self, now: Instant) {
        self.board.expire();
        lock(&self.senders).expire(now);
    }

    fn round(&self) -> Duration {
        let peers = self.peers.borrow().len() as u64;
        Duration::from_millis((peers * ROUND_PEER_MS).clamp(ROUND_MS, FULL_ROUND_MS))
    }

    async fn send(&self, all: bool) {
        let report = self.board.collect_report(all);
        let sender = Sender {
            node: self.node.clone(),
            start: self.start,
            config_version: self.config_version(),
        };
        let mut items = lock(&self.outbox).round();
        items.extend(report.leaving.into_iter().map(Item::Leaving));
        items.extend(report.unreachable.into_iter().map(Item::Unreachable));
        items.extend(report.demand.into_iter().map(Item::Demand));
        let loads = report.loads.into_iter();
        items.extend(loads.map(|(key, load)| Item::Load(key, load)));
        let datagrams = encode(&sender, items);
        for address in self.addresses() {
            for datagram in &datagrams {
                self.send_to(datagram, address).await;
            }
        }
    }

    pub(super) async fn send_to(&self, datagram: &[u8], address: SocketAddr) {
        let sealed = seal(datagram, &self.keys);
        match self.socket.send_to(&sealed, address).await {
            Ok(length) => self.counts.sent(length),
            Err(cause) => log::debug!("gossip: sending a datagram to {address} failed: {cause}"),
        }
    }

    pub(super) fn config_version(&self) -> u64 {
        self.board.traffic.version().map_or(0, |version| version.0)
    }

    /// Returns the addresses of the listed peers and of recent senders that are not listed.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
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
                    self.counts.heard(length);
                    let content = open(&buffer[..length], &self.keys);
                    (content.ok_or(DatagramError::Seal).and_then(decode), address)
                }
                Err(cause) => {
                    log::debug!("gossip: receiving from the socket failed: {cause}");
                    sleep(Duration::from_millis(SOCKET_PAUSE_MS)).await;
                    continue;
                }
            };
            match read {
                Ok(datagram) if datagram.sender.node != self.node => {
                    self.hear(datagram, address).await;
                }
                Ok(_) => {}
                Err(cause) => log::debug!("gossip: a datagram from {address} was dropped: {cause}"),
            }
        }
    }

    async fn hear(&self, mut datagram: Datagram, address: SocketAddr) {
        let sender = datagram.sender.clone();
        lock(&self.senders).hear(&sender, address, Instant::now());
        if datagram.kind == Kind::Direct {
            let (news, told) = datagram
                .items
                .into_iter()
                .partition(|item| matches!(item, Item::News(_)));
            datagram.items = news;
            self.hear_told(&sender, told);
        }
        self.hear_config(&sender.node, sender.config_version);
        self.hear_sums(datagram, address).await;
    }

    /// Applies the state that a peer reports of itself.
    fn hear_told(&self, sender: &Sender, items: Vec<Item>) {
        let mut report = NodeReport::default();
        {
            let mut senders = lock(&self.senders);
            for item in items {
                match item {
                    Item::Load(key, load) => report.loads.push((key, load)),
                    Item::Demand(demand) if demand.requests_per_s.is_finite() => {
                        report.demand.push(demand);
                    }
                    Item::Leaving(key) => report.leaving.push(key),
                    Item::Note(number, note) if senders.is_new(&sender.node, number) => {
                        report.residency_changes.push(note);
                    }
                    Item::Unreachable(key) => report.unreachable.push(key),
                    _ => {}
                }
            }
        }
        self.board.apply_peer_report(&sender.node, report);
    }

    pub(super) fn hear_config(&self, node: &NodeName, version: u64) {
        let version = ConfigVersion(version);
        self.newest_config.send_if_modified(|known| {
            let newer = known
                .as_ref()
                .map_or(ConfigVersion(0), |known| known.version)
                < version;
            if newer {
                let node = node.clone();
                *known = Some(PeerConfig { node, version });
            }
            newer
        });
    }
}

impl ResidencyBroadcaster for Gossip {
    fn broadcast(&self, notes: &[ResidencyChange]) {
        if self.takes_part() {
            let (mut exchange, now) = (lock(&self.exchange), Instant::now());
            for note in notes {
                exchange.tell(Event::Held(note.clone()), self.config_version(), now);
            }
        } else {
            let mut outbox = lock(&self.outbox);
            notes.iter().for_each(|note| outbox.add(note));
        }
        for note in notes {
            self.board.apply_residency_change(note);
        }
        self.board.request_urgent_round();
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
