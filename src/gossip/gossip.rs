//! Sends and receives the datagrams between nodes.

use {
    super::{
        AggregationProtocol, DATAGRAM_BYTES_MAX, Datagram, DatagramCounts, DatagramError,
        DatagramKind, DatagramPurpose, Event, Item, Sender, append_mac, decode, encode,
        gossip_counters::GossipCounters, residency_outbox::ResidencyOutbox,
        sender_table::SenderTable, speed_rounds::speed_reports, verify_mac,
    },
    crate::{
        copies::ResidencyBroadcaster,
        dispatch::{NodeReport, ResidencyChange, RunnerRegistry},
        leader::PeerNode,
        security::KeyRing,
        telemetry::MetricText,
        traffic::{ConfigVersion, NodeName, RouteTable},
    },
    rand::RngExt,
    std::{
        iter::repeat_n,
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
const ROUND_MIN_MS: u64 = 30;

/// The time that each peer adds to the interval of rounds, which grows with the system.
const ROUND_MS_PER_PEER: u64 = 4;

/// The longest interval between two rounds; a round after it sends the full state.
const FULL_ROUND_INTERVAL_MS: u64 = 500;

/// The shortest interval between two rounds while an urgent change is pending.
const URGENT_ROUND_INTERVAL_MS: u64 = 10;

/// The delay before the next read from the socket after an error.
const SOCKET_ERROR_DELAY_MS: u64 = 20;

/// The interval at which the bytes sent are logged at debug level.
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The default of the `direct_peers_max` setting: the number of peers up to which nodes exchange
/// datagrams directly.
pub const DIRECT_PEERS_MAX: usize = 24;

/// The configuration version that a peer announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerConfigVersion {
    /// The peer's name.
    pub node: NodeName,
    /// The version of the peer's configuration.
    pub version: ConfigVersion,
}

/// The exchange of state between a node and its peers over UDP.
#[derive(Debug)]
pub struct Gossip {
    pub(super) node: NodeName,
    pub(super) start: u64,
    pub(super) peers: watch::Receiver<Vec<PeerNode>>,
    seeds: Vec<SocketAddr>,
    pub(super) registry: Arc<RunnerRegistry>,
    socket: UdpSocket,
    residency_outbox: Mutex<ResidencyOutbox>,
    senders: Mutex<SenderTable>,
    pub(super) newest_config: watch::Sender<Option<PeerConfigVersion>>,
    pub(super) direct_peers_max: usize,
    pub(super) aggregation: Mutex<AggregationProtocol>,
    counters: GossipCounters,
    keys: KeyRing,
}

/// The times of the rounds and the changes that start one.
struct RoundTimes {
    sent_at: Instant,
    full_round_due_at: Instant,
    peers: watch::Receiver<Vec<PeerNode>>,
    config: watch::Receiver<Option<Arc<RouteTable>>>,
}

impl Gossip {
    /// Creates the exchange of a node over a bound socket.
    ///
    /// Datagrams go to the addresses in `seeds` while no peer is known.
    pub fn new(
        node: NodeName,
        peers: watch::Receiver<Vec<PeerNode>>,
        seeds: Vec<SocketAddr>,
        registry: Arc<RunnerRegistry>,
        socket: UdpSocket,
    ) -> Arc<Self> {
        Self::with_direct_peers_max(node, peers, seeds, registry, socket, DIRECT_PEERS_MAX)
    }

    /// Creates the exchange with the number of peers up to which nodes exchange datagrams directly.
    pub fn with_direct_peers_max(
        node: NodeName,
        peers: watch::Receiver<Vec<PeerNode>>,
        seeds: Vec<SocketAddr>,
        registry: Arc<RunnerRegistry>,
        socket: UdpSocket,
        direct_peers_max: usize,
    ) -> Arc<Self> {
        let start = rand::rng().random();
        let aggregation =
            AggregationProtocol::new(node.clone(), registry.zone.clone(), start, Instant::now());
        Arc::new(Self {
            node,
            start,
            peers,
            seeds,
            registry,
            socket,
            residency_outbox: Mutex::default(),
            senders: Mutex::default(),
            newest_config: watch::Sender::new(None),
            direct_peers_max,
            aggregation: Mutex::new(aggregation),
            counters: GossipCounters::default(),
            keys: KeyRing::default(),
        })
    }

    /// Subscribes to the newest configuration version that a peer announced.
    pub fn newest_config(&self) -> watch::Receiver<Option<PeerConfigVersion>> {
        self.newest_config.subscribe()
    }

    /// Returns the keys that authenticate datagrams; empty at first.
    pub fn keys(&self) -> &KeyRing {
        &self.keys
    }

    /// Returns the datagrams and bytes sent and received so far.
    pub fn datagram_counts(&self) -> DatagramCounts {
        self.counters.counts()
    }

    /// Sets the rate of the node's link, of which datagrams use a share.
    pub fn set_link(&self, link_mbps: f64) {
        lock(&self.aggregation).set_link(link_mbps, Instant::now());
    }

    /// Writes the counters of datagrams as metrics.
    pub fn render(&self, text: &mut MetricText) {
        self.counters.render(text);
        if self.uses_aggregation() {
            self.render_aggregation(text);
        }
    }

    /// Writes how far the exchange through aggregators is behind.
    fn render_aggregation(&self, text: &mut MetricText) {
        let (aggregation, now) = (lock(&self.aggregation), Instant::now());
        let name = "ggt_gossip_send_delay_seconds";
        let help = "How long the next round of datagrams waits for the link.";
        let delay_s = aggregation.send_delay(now).as_secs_f64();
        text.single(name, "gauge", help, delay_s);
        let name = "ggt_gossip_digest_age_seconds";
        let help = "The time since the state of other nodes arrived from the aggregator.";
        let age_s = aggregation.digest_age(now).as_secs_f64();
        text.single(name, "gauge", help, age_s);
        let name = "ggt_gossip_aggregator_changes_total";
        let help = "How often the node has chosen another aggregator.";
        let changes = aggregation.aggregator_changes() as f64;
        text.single(name, "counter", help, changes);
        let name = "ggt_gossip_kept_events";
        text.begin(
            name,
            "gauge",
            "Urgent events that are kept to be forwarded, by kind.",
        );
        for (kind, count) in aggregation.event_counts() {
            text.value(name, &[("kind", kind)], count as f64);
        }
    }

    /// Sends and receives datagrams until the future is dropped.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(
            self.send_rounds(),
            self.send_speeds(),
            self.receive_datagrams(),
            self.log_traffic()
        );
    }

    /// Logs the bytes sent so far by purpose, at debug level.
    async fn log_traffic(&self) {
        loop {
            sleep(TRAFFIC_LOG_INTERVAL).await;
            log::debug!(
                "gossip: bytes sent so far: {:?}",
                self.counters.sent_bytes()
            );
        }
    }

    async fn send_rounds(&self) {
        let mut rounds = RoundTimes {
            sent_at: Instant::now(),
            full_round_due_at: Instant::now(),
            peers: self.peers.clone(),
            config: self.registry.traffic.subscribe(),
        };
        loop {
            match self.uses_aggregation() {
                true => self.aggregated_round(&mut rounds).await,
                false => self.direct_round(&mut rounds).await,
            }
            rounds.sent_at = Instant::now();
        }
    }

    async fn direct_round(&self, rounds: &mut RoundTimes) {
        let round = self.round_interval();
        let free_at = lock(&self.aggregation).budget.free_at();
        let earliest_at = free_at.max(rounds.sent_at + round);
        let urgent_at = rounds.sent_at + Duration::from_millis(URGENT_ROUND_INTERVAL_MS);
        let urgent_at = free_at.max(urgent_at);
        let has_pending_changes = !lock(&self.residency_outbox).is_empty();
        tokio::select! {
            () = self.registry.urgent_report_pending() => sleep_until(urgent_at).await,
            Ok(()) = rounds.config.changed() => {}
            Ok(()) = rounds.peers.changed() => rounds.full_round_due_at = rounds.sent_at,
            () = async { self.registry.report_pending().await; sleep_until(earliest_at).await } => {}
            () = sleep_until(earliest_at), if has_pending_changes => {}
            () = sleep_until(free_at.max(rounds.full_round_due_at)) => {}
        }
        let now = Instant::now();
        let is_full = now >= rounds.full_round_due_at;
        if is_full {
            rounds.full_round_due_at =
                now + round.max(Duration::from_millis(FULL_ROUND_INTERVAL_MS));
            self.expire(now);
        }
        self.send_state(is_full).await;
    }

    async fn aggregated_round(&self, rounds: &mut RoundTimes) {
        let urgent_at = rounds.sent_at + Duration::from_millis(URGENT_ROUND_INTERVAL_MS);
        let next_due_at = lock(&self.aggregation).next_due_at(Instant::now());
        tokio::select! {
            () = self.registry.urgent_report_pending() => sleep_until(urgent_at).await,
            Ok(()) = rounds.config.changed() => {}
            Ok(()) = rounds.peers.changed() => {}
            () = sleep_until(next_due_at) => {}
        }
        let now = Instant::now();
        if now >= rounds.full_round_due_at {
            rounds.full_round_due_at = now + Duration::from_millis(FULL_ROUND_INTERVAL_MS);
            self.expire(now);
        }
        self.send_aggregated().await;
    }

    fn expire(&self, now: Instant) {
        self.registry.expire();
        lock(&self.senders).expire(now);
    }

    fn round_interval(&self) -> Duration {
        let peers = self.peers.borrow().len() as u64;
        Duration::from_millis(
            (peers * ROUND_MS_PER_PEER).clamp(ROUND_MIN_MS, FULL_ROUND_INTERVAL_MS),
        )
    }

    async fn send_state(&self, is_full: bool) {
        let report = self.registry.collect_report(is_full);
        let sender = Sender {
            node: self.node.clone(),
            start: self.start,
            config_version: self.config_version(),
        };
        let mut items = lock(&self.residency_outbox).next_round();
        items.extend(report.leaving.into_iter().map(Item::Leaving));
        items.extend(report.stated_leaving.into_iter().map(Item::StatedLeaving));
        items.extend(report.unreachable.into_iter().map(Item::Unreachable));
        items.extend(report.quarantine.into_iter().map(Item::Quarantine));
        items.extend(report.limits.into_iter().map(Item::Limit));
        items.extend(report.demand.into_iter().map(Item::Demand));
        let loads = report.loads.into_iter();
        items.extend(loads.map(|(key, load)| Item::Load(key, load)));
        let datagrams = encode(&sender, items);
        let addresses = self.peer_addresses();
        let sizes = datagrams.iter().map(Vec::len);
        let sizes = sizes.flat_map(|size| repeat_n(size, addresses.len()));
        lock(&self.aggregation).budget.spend(sizes, Instant::now());
        for address in addresses {
            for datagram in &datagrams {
                self.send_to(datagram, address, DatagramPurpose::Direct)
                    .await;
            }
        }
    }

    pub(super) async fn send_to(
        &self,
        datagram: &[u8],
        address: SocketAddr,
        purpose: DatagramPurpose,
    ) {
        let authenticated = append_mac(datagram, &self.keys);
        match self.socket.send_to(&authenticated, address).await {
            Ok(length) => self.counters.record_sent(purpose, length),
            Err(cause) => log::debug!("gossip: sending a datagram to {address} failed: {cause}"),
        }
    }

    pub(super) fn config_version(&self) -> u64 {
        self.registry
            .traffic
            .version()
            .map_or(0, |version| version.0)
    }

    /// Returns the addresses of the listed peers and of recent senders that are not listed.
    pub(super) fn peer_addresses(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let mut addresses: Vec<_> = peers.iter().map(|peer| peer.gossip_address).collect();
        if addresses.is_empty() {
            addresses.extend(&self.seeds);
        }
        addresses.extend(lock(&self.senders).recent_addresses(Instant::now()));
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    async fn receive_datagrams(&self) {
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX * 4];
        loop {
            let (decoded, address) = match self.socket.recv_from(&mut buffer).await {
                Ok((length, address)) => {
                    self.counters.record_received(length);
                    let content = verify_mac(&buffer[..length], &self.keys);
                    (content.ok_or(DatagramError::Mac).and_then(decode), address)
                }
                Err(cause) => {
                    log::debug!("gossip: receiving from the socket failed: {cause}");
                    sleep(Duration::from_millis(SOCKET_ERROR_DELAY_MS)).await;
                    continue;
                }
            };
            match decoded {
                Ok(datagram) if datagram.sender.node != self.node => {
                    self.process_datagram(datagram, address).await;
                }
                Ok(_) => {}
                Err(cause) => log::debug!("gossip: a datagram from {address} was dropped: {cause}"),
            }
        }
    }

    async fn process_datagram(&self, mut datagram: Datagram, address: SocketAddr) {
        let sender = datagram.sender.clone();
        lock(&self.senders).record(&sender, address, Instant::now());
        let speeds = speed_reports(&datagram.items);
        if !speeds.is_empty() {
            self.registry.apply_speed_reports(&speeds);
            return;
        }
        if datagram.kind == DatagramKind::Direct {
            let (urgent_events, direct_items) = datagram
                .items
                .into_iter()
                .partition(|item| matches!(item, Item::News(_)));
            datagram.items = urgent_events;
            self.apply_direct_items(&sender, direct_items);
        }
        self.record_peer_config(&sender.node, sender.config_version);
        self.process_aggregated(datagram, address).await;
    }

    /// Applies the state that a peer reports of itself.
    fn apply_direct_items(&self, sender: &Sender, items: Vec<Item>) {
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
                    Item::StatedLeaving(key) => report.stated_leaving.push(key),
                    Item::Note(number, change) if senders.insert_change(&sender.node, number) => {
                        report.residency_changes.push(change);
                    }
                    Item::Unreachable(key) => report.unreachable.push(key),
                    Item::Quarantine(message) => report.quarantine.push(message),
                    Item::Limit(limit) => report.limits.push(limit),
                    _ => {}
                }
            }
        }
        self.registry.apply_peer_report(&sender.node, report);
    }

    pub(super) fn record_peer_config(&self, node: &NodeName, version: u64) {
        let version = ConfigVersion(version);
        self.newest_config.send_if_modified(|known| {
            let is_newer = known
                .as_ref()
                .map_or(ConfigVersion(0), |known| known.version)
                < version;
            if is_newer {
                let node = node.clone();
                *known = Some(PeerConfigVersion { node, version });
            }
            is_newer
        });
    }
}

impl ResidencyBroadcaster for Gossip {
    fn broadcast(&self, changes: &[ResidencyChange]) {
        if self.uses_aggregation() {
            let (mut aggregation, now) = (lock(&self.aggregation), Instant::now());
            for change in changes {
                aggregation.publish(Event::Held(change.clone()), self.config_version(), now);
            }
        } else {
            let mut residency_outbox = lock(&self.residency_outbox);
            changes
                .iter()
                .for_each(|change| residency_outbox.add(change));
        }
        for change in changes {
            self.registry.apply_residency_change(change);
        }
        self.registry.request_urgent_round();
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
