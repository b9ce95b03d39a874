//! Load aggregation in a large system: each node reports to an aggregator and may be one itself.
//!
//! The state machine does no I/O: it receives datagrams and returns the state to apply and the
//! datagrams to send.

use {
    super::{
        Datagram, DatagramKind, DatagramPurpose, DigestHead, Event, FailureDetector, GossipPeer,
        Item, LoadDelta, PlanningData, ReportHistory, Sender, UrgentEvent,
        aggregator_table::AggregatorTable,
        digest_watch::DigestWatch,
        encode_datagram,
        event_outbox::EventOutbox,
        forwarded_events::ForwardedEvents,
        reporting_nodes::ReportingNodes,
        seen_events::SeenEvents,
        send_budget::{DEFAULT_LINK_MBPS, SendBudget},
    },
    crate::{
        dispatch::{LimitReport, LoadSum, ModelDemand, RunnerHash},
        leader::PeerNode,
        quarantine::{QuarantineMessage, Verdict},
        traffic::{NodeName, ZoneId},
    },
    std::{iter::repeat_n, net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// The time that each node of the system adds to the interval between two rounds.
const ROUND_MS_PER_NODE: u64 = 2;

/// The shortest interval between two rounds.
const ROUND_MIN_MS: u64 = 30;

/// The longest interval between two rounds.
const ROUND_MAX_MS: u64 = 1_000;

/// The number of rounds within which an urgent event is acknowledged.
const ACK_ROUNDS: u32 = 2;

/// The shortest wait for the acknowledgement of an urgent event.
const ACK_TIMEOUT_MIN: Duration = Duration::from_millis(150);

/// The longest wait for the acknowledgement of an urgent event.
const ACK_TIMEOUT_MAX: Duration = Duration::from_secs(1);

/// The smallest number of rounds between two full digests for a node.
const FULL_DIGEST_ROUNDS_MIN: u32 = 8;

/// The shortest interval between two full digests for a node.
const FULL_DIGEST_INTERVAL_MIN: Duration = Duration::from_millis(1_000);

/// How long a node with a short list of peers reports to an aggregator that it learned of from a
/// node with a long list.
const LEARNED_AGGREGATOR_TTL: Duration = Duration::from_secs(5);

/// The state of the node that the protocol needs at each call.
#[derive(Debug, Clone, Copy)]
pub struct AggregationContext<'a> {
    /// The listed peers.
    pub peers: &'a [PeerNode],
    /// The version of this node's configuration, 0 for none.
    pub config_version: u64,
    /// The newest configuration version that a peer announced, and that peer.
    pub newest_config: Option<(&'a NodeName, u64)>,
    /// Whether more peers are listed than nodes exchange datagrams with directly.
    pub is_large: bool,
    /// The time of the call.
    pub now: Instant,
}

/// A datagram to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The address of the receiver.
    pub address: SocketAddr,
    /// Why the datagram is sent.
    pub purpose: DatagramPurpose,
    /// The encoded datagram.
    pub bytes: Vec<u8>,
}

/// The effects of one call: the state to apply, in the order of the fields, and datagrams to send.
#[derive(Debug, Default)]
pub struct AggregationOutput {
    /// Discards all earlier sums that are not in `sums`.
    pub replace_sums: bool,
    /// Extends the validity of the sums that arrived within this time.
    pub renew_received_within: Option<Duration>,
    /// The load of all other nodes by runner.
    pub sums: Vec<(RunnerHash, LoadSum)>,
    /// The demand and the usage by variant of all other nodes.
    pub planning: PlanningData,
    /// Urgent events received for the first time.
    pub events: Vec<Event>,
    /// Configuration versions that nodes announced.
    pub peer_configs: Vec<(NodeName, u64)>,
    /// The verdicts that arrived with the state of other nodes.
    pub verdicts: Vec<Verdict>,
    /// The limits of runners that arrived with the state of other nodes.
    pub limits: Vec<LimitReport>,
    /// Whether the next round is due at once.
    pub needs_urgent_round: bool,
    /// Datagrams to send.
    pub outgoing: Vec<Outgoing>,
    /// Encoded datagrams to send to all peers.
    pub broadcast: Vec<Vec<u8>>,
}

/// The aggregator that a node reports to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum AggregatorChoice {
    /// No aggregator is reachable.
    Unavailable,
    /// The node aggregates itself.
    ThisNode,
    /// Another node aggregates.
    OtherNode(GossipPeer),
}

/// The state of load aggregation at a node.
#[derive(Debug)]
pub struct AggregationProtocol {
    pub(super) own_node: PeerNode,
    pub(super) start: u64,
    pub(super) choice: AggregatorChoice,
    /// Whether a full digest of the chosen aggregator arrived.
    pub(super) has_full_digest: bool,
    pub(super) report_history: ReportHistory,
    pub(super) failure_detector: FailureDetector,
    pub(super) event_outbox: EventOutbox,
    pub(super) seen_events: SeenEvents,
    pub(super) forwarded_events: ForwardedEvents,
    pub(super) reporting_nodes: ReportingNodes,
    pub(super) aggregators: AggregatorTable,
    pub(super) digest_delta: LoadDelta,
    pub(super) sum_delta: LoadDelta,
    /// The aggregators that sums were sent to, with the time of the last send.
    pub(super) sums_sent: Vec<(NodeName, Instant)>,
    pub(super) report_round: u32,
    pub(super) sum_round: u32,
    /// The number of rounds with loads in digests.
    pub(super) digest_round: usize,
    pub(super) due: DueTimes,
    pub(super) published_config: u64,
    pub(super) reported_demand: Vec<ModelDemand>,
    pub(super) reported_loads: Vec<(RunnerHash, LoadSum)>,
    pub(super) more_requests_wait: bool,
    pub(super) learned_aggregator: Option<(GossipPeer, Instant)>,
    pub(super) budget: SendBudget,
    pub(super) digest_watch: DigestWatch,
    pub(super) aggregator_changes: u64,
}

/// The times at which the periodic sends are next due.
#[derive(Debug)]
pub(super) struct DueTimes {
    pub(super) report: Instant,
    pub(super) report_latest: Instant,
    pub(super) planning_data: Instant,
    pub(super) digest: Instant,
    pub(super) full_digest: Instant,
    pub(super) digest_planning_data: Instant,
    pub(super) urgent_planning_data: Instant,
}

impl AggregationOutput {
    /// Returns the sizes of all datagrams, of which each node in `peers` gets a broadcast.
    pub(super) fn datagram_sizes(&self, peers: usize) -> impl Iterator<Item = usize> {
        let outgoing = self.outgoing.iter().map(|outgoing| outgoing.bytes.len());
        let broadcast = self.broadcast.iter().map(Vec::len);
        outgoing.chain(broadcast.flat_map(move |size| repeat_n(size, peers)))
    }
}

impl AggregationProtocol {
    /// Creates the state for a process of a node, which `start` identifies.
    pub fn new(node: NodeName, zone: ZoneId, start: u64, now: Instant) -> Self {
        let unknown_address = SocketAddr::from(([0, 0, 0, 0], 0));
        Self {
            own_node: PeerNode {
                name: node,
                gossip_address: unknown_address,
                control_address: unknown_address,
                zone,
            },
            start,
            choice: AggregatorChoice::Unavailable,
            has_full_digest: false,
            report_history: ReportHistory::default(),
            failure_detector: FailureDetector::default(),
            event_outbox: EventOutbox::default(),
            seen_events: SeenEvents::default(),
            forwarded_events: ForwardedEvents::default(),
            reporting_nodes: ReportingNodes::default(),
            aggregators: AggregatorTable::default(),
            digest_delta: LoadDelta::default(),
            sum_delta: LoadDelta::default(),
            sums_sent: Vec::new(),
            report_round: 0,
            sum_round: 0,
            digest_round: 0,
            due: DueTimes {
                report: now,
                report_latest: now,
                planning_data: now,
                digest: now,
                full_digest: now,
                digest_planning_data: now,
                urgent_planning_data: now,
            },
            published_config: 0,
            reported_demand: Vec::new(),
            reported_loads: Vec::new(),
            more_requests_wait: false,
            learned_aggregator: None,
            budget: SendBudget::new(DEFAULT_LINK_MBPS, now),
            digest_watch: DigestWatch::new(now),
            aggregator_changes: 0,
        }
    }

    /// Sets the rate of the node's link, of which datagrams use a share.
    pub fn set_link(&mut self, link_mbps: f64, now: Instant) {
        self.budget = SendBudget::new(link_mbps, now);
    }

    /// Returns whether the node uses aggregation: it lists many peers, or learned of an aggregator
    /// from a node that does.
    pub fn uses_aggregation(&self, is_large: bool, now: Instant) -> bool {
        is_large || self.learned_aggregator(now).is_some()
    }

    /// Returns whether nodes, this one included, report to this node.
    pub fn is_aggregator(&self) -> bool {
        self.choice == AggregatorChoice::ThisNode || self.reporting_nodes.iter().next().is_some()
    }

    /// Returns the interval between two rounds for a number of peers.
    pub fn round_interval(peers: usize) -> Duration {
        let nodes = peers as u64 + 1;
        Duration::from_millis((nodes * ROUND_MS_PER_NODE).clamp(ROUND_MIN_MS, ROUND_MAX_MS))
    }

    /// Publishes an urgent event of this node, unless the same event is already under way.
    pub fn publish(&mut self, event: Event, config_version: u64, now: Instant) {
        if self.seen_events.is_recent_duplicate(&event, now) {
            return;
        }
        let sender = self.sender(config_version);
        let urgent_event = self.event_outbox.add(&sender, event, now);
        self.seen_events.insert(&urgent_event, now);
        if self.choice != AggregatorChoice::ThisNode {
            self.forwarded_events.add(urgent_event, false, now);
        }
    }

    /// Processes a received datagram; of a direct one only the urgent events and configurations.
    pub fn receive(
        &mut self,
        datagram: Datagram,
        from: SocketAddr,
        context: &AggregationContext,
    ) -> AggregationOutput {
        let Datagram {
            sender,
            kind,
            items,
        } = datagram;
        let now = context.now;
        let mut output = AggregationOutput::default();
        self.failure_detector.record_response(&sender.node, now);
        let has_events = !items.is_empty();
        let items = self.process_events(&kind, items, &mut output, now);
        match kind {
            DatagramKind::Direct if context.is_large && !has_events => {
                let pong = DatagramKind::Pong(self.current_aggregator());
                self.respond(&pong, from, context, &mut output);
            }
            DatagramKind::Direct => {}
            DatagramKind::Report(head) => {
                let effect = self
                    .reporting_nodes
                    .apply_report(&sender, from, head, items, now);
                self.more_requests_wait |= effect.more_requests_wait;
                output.needs_urgent_round |= effect.is_new_sender || effect.more_requests_wait;
            }
            DatagramKind::Digest(head) => {
                self.apply_digest(&sender, from, head, items, context, &mut output)
            }
            DatagramKind::Sum(head) => {
                let key = (head, self.start);
                let effect = self.aggregators.apply_sum(&sender, from, key, items, now);
                if effect.is_new_sender {
                    self.sums_sent.retain(|(node, _)| *node != sender.node);
                }
                if self.is_aggregator() && effect.more_requests_wait {
                    self.more_requests_wait = true;
                    output.needs_urgent_round = true;
                }
                if !self.is_aggregator() {
                    self.respond(&DatagramKind::Pong(None), from, context, &mut output);
                }
            }
            DatagramKind::Ping => {
                self.respond(&DatagramKind::Pong(None), from, context, &mut output)
            }
            DatagramKind::Pong(aggregator) => {
                let other = aggregator.filter(|(name, _)| *name != self.own_node.name);
                if let Some((name, address)) = other.filter(|_| !context.is_large) {
                    let is_sender = name == sender.node;
                    let address = if is_sender { from } else { address };
                    self.learned_aggregator =
                        Some((GossipPeer { name, address }, now + LEARNED_AGGREGATOR_TTL));
                    output.needs_urgent_round = true;
                }
            }
        }
        let sizes = output.datagram_sizes(context.peers.len());
        self.budget.spend(sizes, now);
        output
    }

    /// Processes the urgent events and configurations, and returns the other items.
    fn process_events(
        &mut self,
        kind: &DatagramKind,
        items: Vec<Item>,
        output: &mut AggregationOutput,
        now: Instant,
    ) -> Vec<Item> {
        let is_from_reporting_node = matches!(kind, DatagramKind::Report(_));
        let mut others = Vec::new();
        for item in items {
            match item {
                Item::News(urgent_event) => {
                    self.process_event(urgent_event, is_from_reporting_node, output, now)
                }
                Item::Config(node, version) => output.peer_configs.push((node, version)),
                Item::Quarantine(QuarantineMessage::Verdict(verdict)) => {
                    output.verdicts.push(verdict);
                }
                Item::Limit(limit) => output.limits.push(limit),
                other => others.push(other),
            }
        }
        others
    }

    fn process_event(
        &mut self,
        urgent_event: UrgentEvent,
        is_from_reporting_node: bool,
        output: &mut AggregationOutput,
        now: Instant,
    ) {
        if urgent_event.origin == self.own_node.name || !self.seen_events.insert(&urgent_event, now)
        {
            return;
        }
        if let Event::Config(version) = urgent_event.event {
            output
                .peer_configs
                .push((urgent_event.origin.clone(), version));
        }
        if self
            .seen_events
            .is_recent_duplicate(&urgent_event.event, now)
        {
            return;
        }
        output.events.push(urgent_event.event.clone());
        self.forwarded_events
            .add(urgent_event, is_from_reporting_node, now);
        output.needs_urgent_round |= self.is_aggregator();
    }

    fn apply_digest(
        &mut self,
        sender: &Sender,
        from: SocketAddr,
        head: DigestHead,
        items: Vec<Item>,
        context: &AggregationContext,
        output: &mut AggregationOutput,
    ) {
        let now = context.now;
        if head.large
            && let Some((peer, until)) = &mut self.learned_aggregator
            && peer.name == sender.node
        {
            peer.address = from;
            *until = now + LEARNED_AGGREGATOR_TTL;
        }
        let chosen =
            matches!(&self.choice, AggregatorChoice::OtherNode(known) if known.name == sender.node);
        if !chosen || !(head.full || self.has_full_digest) {
            return;
        }
        self.digest_watch.record(now);
        if !self.has_full_digest {
            self.has_full_digest = true;
            output.replace_sums = true;
        }
        if let Some(heard) = head.heard.filter(|heard| heard.start == self.start) {
            self.event_outbox.acknowledge(heard.round);
        }
        output.renew_received_within = Some(Self::sums_ttl(context.peers.len()));
        for item in items {
            match item {
                Item::Sum(runner, sum) => {
                    let others = self
                        .report_history
                        .subtract_own(self.start, head.heard, runner, sum);
                    output.sums.push((runner, others));
                }
                other => output.planning.insert(other),
            }
        }
    }

    fn current_aggregator(&self) -> Option<(NodeName, SocketAddr)> {
        match &self.choice {
            AggregatorChoice::Unavailable => None,
            AggregatorChoice::ThisNode => {
                Some((self.own_node.name.clone(), self.own_node.gossip_address))
            }
            AggregatorChoice::OtherNode(peer) => Some((peer.name.clone(), peer.address)),
        }
    }

    fn respond(
        &self,
        kind: &DatagramKind,
        to: SocketAddr,
        context: &AggregationContext,
        output: &mut AggregationOutput,
    ) {
        let bytes = encode_datagram(&self.sender(context.config_version), kind, &[]);
        output.outgoing.push(Outgoing {
            address: to,
            purpose: DatagramPurpose::Probe,
            bytes,
        });
    }

    pub(super) fn sender(&self, config_version: u64) -> Sender {
        Sender {
            node: self.own_node.name.clone(),
            start: self.start,
            config_version,
        }
    }

    /// Returns how long to wait for the acknowledgement of an urgent event before it is sent
    /// directly: acknowledgements come with rounds.
    pub(super) fn ack_timeout(peers: usize) -> Duration {
        (Self::round_interval(peers) * ACK_ROUNDS).clamp(ACK_TIMEOUT_MIN, ACK_TIMEOUT_MAX)
    }

    /// Returns the interval between two full digests for a node, which hold all sums instead of the
    /// changes.
    pub(super) fn full_digest_interval(peers: usize) -> Duration {
        (Self::round_interval(peers) * FULL_DIGEST_ROUNDS_MIN).max(FULL_DIGEST_INTERVAL_MIN)
    }

    /// Returns the number of rounds between two full digests for a node.
    pub(super) fn rounds_per_full_digest(peers: usize) -> usize {
        let interval = Self::full_digest_interval(peers).as_millis();
        interval.div_ceil(Self::round_interval(peers).as_millis().max(1)) as usize
    }

    /// Returns how long a sum counts after it arrived.
    pub(super) fn sums_ttl(peers: usize) -> Duration {
        Self::full_digest_interval(peers).mul_f64(2.2)
    }
}
