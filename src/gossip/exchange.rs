//! Load aggregation in a large system: each node reports to an aggregator and may be one itself.
//!
//! The state machine does no I/O: it receives datagrams and returns the state to apply and the
//! datagrams to send.

use {
    super::{
        Contact, Datagram, DigestHead, Event, Item, Kind, News, Plan, ReportHistory, Sender,
        Silence, SumTeller, aggregator_table::AggregatorTable, frame, member_table::MemberTable,
        news_log::NewsLog, news_outbox::NewsOutbox, relay_log::RelayLog,
    },
    crate::{
        dispatch::{LoadSum, ModelDemand, RunnerHash},
        leader::PeerNode,
        traffic::{NodeName, ZoneId},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// The time that each node of the system adds to the interval between two rounds.
const ROUND_NODE_MS: u64 = 2;

/// The shortest interval between two rounds.
const ROUND_MIN_MS: u64 = 30;

/// The longest interval between two rounds.
const ROUND_MAX_MS: u64 = 1_000;

/// How long a node with a short list of peers reports to an aggregator that it learned of from a
/// node with a long list.
const FOLLOWED: Duration = Duration::from_secs(5);

/// The state of the node that the protocol needs at each call.
#[derive(Debug, Clone, Copy)]
pub struct Surroundings<'a> {
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
    /// The encoded datagram.
    pub bytes: Vec<u8>,
}

/// The effects of one call: the state to apply, in the order of the fields, and datagrams to send.
#[derive(Debug, Default)]
pub struct Learnt {
    /// Discards all earlier sums that are not in `sums`.
    pub replace: bool,
    /// Extends the validity of the sums that arrived within this time.
    pub renew_within: Option<Duration>,
    /// The load of all other nodes by runner.
    pub sums: Vec<(RunnerHash, LoadSum)>,
    /// The demand and the usage by variant of all other nodes.
    pub plan: Plan,
    /// Urgent events received for the first time.
    pub events: Vec<Event>,
    /// Configuration versions that nodes announced.
    pub configs: Vec<(NodeName, u64)>,
    /// Whether the next round is due at once.
    pub is_urgent: bool,
    /// Datagrams to send.
    pub outgoing: Vec<Outgoing>,
    /// Encoded datagrams to send to all peers.
    pub to_all: Vec<Vec<u8>>,
}

/// The aggregator that a node reports to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Choice {
    /// No aggregator is reachable.
    Nobody,
    /// The node aggregates itself.
    Own,
    /// Another node aggregates.
    Other(Contact),
}

/// The state of load aggregation at a node.
#[derive(Debug)]
pub struct Exchange {
    pub(super) me: PeerNode,
    pub(super) start: u64,
    pub(super) choice: Choice,
    /// Whether a full digest of the chosen aggregator arrived.
    pub(super) has_digest: bool,
    pub(super) history: ReportHistory,
    pub(super) silence: Silence,
    pub(super) outbox: NewsOutbox,
    pub(super) log: NewsLog,
    pub(super) relays: RelayLog,
    pub(super) members: MemberTable,
    pub(super) aggregators: AggregatorTable,
    pub(super) digest_teller: SumTeller,
    pub(super) sum_teller: SumTeller,
    /// The aggregators that sums were sent to, with the time of the last send.
    pub(super) sums_sent: Vec<(NodeName, Instant)>,
    pub(super) report_round: u32,
    pub(super) sum_round: u32,
    pub(super) due: Due,
    pub(super) told_config: u64,
    pub(super) told_demand: Vec<ModelDemand>,
    pub(super) told_loads: Vec<(RunnerHash, LoadSum)>,
    pub(super) more_wait: bool,
    pub(super) followed: Option<(Contact, Instant)>,
}

/// The times at which the periodic sends are next due.
#[derive(Debug)]
pub(super) struct Due {
    pub(super) report: Instant,
    pub(super) report_at_last: Instant,
    pub(super) plan: Instant,
    pub(super) digest: Instant,
    pub(super) full: Instant,
    pub(super) planners: Instant,
    pub(super) waiting: Instant,
}

impl Exchange {
    /// Creates the state for a process of a node, which `start` identifies.
    pub fn new(node: NodeName, zone: ZoneId, start: u64, now: Instant) -> Self {
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        Self {
            me: PeerNode {
                name: node,
                gossip_address: nowhere,
                control_address: nowhere,
                zone,
            },
            start,
            choice: Choice::Nobody,
            has_digest: false,
            history: ReportHistory::default(),
            silence: Silence::default(),
            outbox: NewsOutbox::default(),
            log: NewsLog::default(),
            relays: RelayLog::default(),
            members: MemberTable::default(),
            aggregators: AggregatorTable::default(),
            digest_teller: SumTeller::default(),
            sum_teller: SumTeller::default(),
            sums_sent: Vec::new(),
            report_round: 0,
            sum_round: 0,
            due: Due {
                report: now,
                report_at_last: now,
                plan: now,
                digest: now,
                full: now,
                planners: now,
                waiting: now,
            },
            told_config: 0,
            told_demand: Vec::new(),
            told_loads: Vec::new(),
            more_wait: false,
            followed: None,
        }
    }

    /// Returns whether the node uses aggregation: it lists many peers, or learned of an aggregator
    /// from a node that does.
    pub fn takes_part(&self, is_large: bool, now: Instant) -> bool {
        is_large || self.follows(now).is_some()
    }

    /// Returns whether nodes, this one included, report to this node.
    pub fn is_aggregator(&self) -> bool {
        self.choice == Choice::Own || self.members.iter().next().is_some()
    }

    /// Returns the interval between two rounds for a number of peers.
    pub fn round(peers: usize) -> Duration {
        let nodes = peers as u64 + 1;
        Duration::from_millis((nodes * ROUND_NODE_MS).clamp(ROUND_MIN_MS, ROUND_MAX_MS))
    }

    /// Publishes an urgent event of this node, unless the same event is already under way.
    pub fn tell(&mut self, event: Event, config_version: u64, now: Instant) {
        if self.log.is_repeated(&event, now) {
            return;
        }
        let news = self.outbox.add(&self.sender(config_version), event);
        self.log.is_new(&news, now);
        if self.choice != Choice::Own {
            self.relays.add(news, false, now);
        }
    }

    /// Processes a received datagram; of a direct one only the urgent events and configurations.
    pub fn hear(&mut self, datagram: Datagram, from: SocketAddr, around: &Surroundings) -> Learnt {
        let Datagram {
            sender,
            kind,
            items,
        } = datagram;
        let now = around.now;
        let mut learnt = Learnt::default();
        self.silence.heard(&sender.node, now);
        let has_news = !items.is_empty();
        let items = self.take_news(&kind, items, &mut learnt, now);
        match kind {
            Kind::Direct if around.is_large && !has_news => {
                let pong = Kind::Pong(self.own_aggregator());
                self.answer(&pong, from, around, &mut learnt);
            }
            Kind::Direct => {}
            Kind::Report(head) => {
                let reported = self.members.hear(&sender, from, head, items, now);
                self.more_wait |= reported.more_wait;
                learnt.is_urgent |= reported.is_new || reported.more_wait;
            }
            Kind::Digest(head) => self.hear_digest(&sender, from, head, items, around, &mut learnt),
            Kind::Sum(head) => {
                let key = (head, self.start);
                let reported = self.aggregators.hear(&sender, from, key, items, now);
                if reported.is_new {
                    self.sums_sent.retain(|(node, _)| *node != sender.node);
                }
                if self.is_aggregator() && reported.more_wait {
                    self.more_wait = true;
                    learnt.is_urgent = true;
                }
                if !self.is_aggregator() {
                    self.answer(&Kind::Pong(None), from, around, &mut learnt);
                }
            }
            Kind::Ping => self.answer(&Kind::Pong(None), from, around, &mut learnt),
            Kind::Pong(aggregator) => {
                let other = aggregator.filter(|(name, _)| *name != self.me.name);
                if let Some((name, address)) = other.filter(|_| !around.is_large) {
                    let is_sender = name == sender.node;
                    let address = if is_sender { from } else { address };
                    self.followed = Some((Contact { name, address }, now + FOLLOWED));
                    learnt.is_urgent = true;
                }
            }
        }
        learnt
    }

    /// Processes the urgent events and configurations, and returns the other items.
    fn take_news(
        &mut self,
        kind: &Kind,
        items: Vec<Item>,
        learnt: &mut Learnt,
        now: Instant,
    ) -> Vec<Item> {
        let is_from_member = matches!(kind, Kind::Report(_));
        let mut others = Vec::new();
        for item in items {
            match item {
                Item::News(news) => self.take_one(news, is_from_member, learnt, now),
                Item::Config(node, version) => learnt.configs.push((node, version)),
                other => others.push(other),
            }
        }
        others
    }

    fn take_one(&mut self, news: News, is_from_member: bool, learnt: &mut Learnt, now: Instant) {
        if news.origin == self.me.name || !self.log.is_new(&news, now) {
            return;
        }
        if let Event::Config(version) = news.event {
            learnt.configs.push((news.origin.clone(), version));
        }
        if self.log.is_repeated(&news.event, now) {
            return;
        }
        learnt.events.push(news.event.clone());
        self.relays.add(news, is_from_member, now);
        learnt.is_urgent |= self.is_aggregator();
    }

    fn hear_digest(
        &mut self,
        sender: &Sender,
        from: SocketAddr,
        head: DigestHead,
        items: Vec<Item>,
        around: &Surroundings,
        learnt: &mut Learnt,
    ) {
        let now = around.now;
        if head.large
            && let Some((contact, until)) = &mut self.followed
            && contact.name == sender.node
        {
            contact.address = from;
            *until = now + FOLLOWED;
        }
        let chosen = matches!(&self.choice, Choice::Other(known) if known.name == sender.node);
        if !chosen || !(head.full || self.has_digest) {
            return;
        }
        if !self.has_digest {
            self.has_digest = true;
            learnt.replace = true;
        }
        if let Some(heard) = head.heard.filter(|heard| heard.start == self.start) {
            self.outbox.acknowledged(heard.round);
        }
        learnt.renew_within = Some(Self::sums_kept(around.peers.len()));
        for item in items {
            match item {
                Item::Sum(runner, sum) => {
                    let others = self.history.others(self.start, head.heard, runner, sum);
                    learnt.sums.push((runner, others));
                }
                other => learnt.plan.take(other),
            }
        }
    }

    fn own_aggregator(&self) -> Option<(NodeName, SocketAddr)> {
        match &self.choice {
            Choice::Nobody => None,
            Choice::Own => Some((self.me.name.clone(), self.me.gossip_address)),
            Choice::Other(contact) => Some((contact.name.clone(), contact.address)),
        }
    }

    fn answer(&self, kind: &Kind, to: SocketAddr, around: &Surroundings, learnt: &mut Learnt) {
        let bytes = frame(&self.sender(around.config_version), kind, &[]);
        learnt.outgoing.push(Outgoing { address: to, bytes });
    }

    pub(super) fn sender(&self, config_version: u64) -> Sender {
        Sender {
            node: self.me.name.clone(),
            start: self.start,
            config_version,
        }
    }

    /// Returns the interval between two full digests, which hold all sums instead of the changes.
    pub(super) fn full_round(peers: usize) -> Duration {
        (Self::round(peers) * 8).max(Duration::from_millis(1_000))
    }

    /// Returns how long a sum counts after it arrived.
    pub(super) fn sums_kept(peers: usize) -> Duration {
        Self::full_round(peers).mul_f64(2.2)
    }
}
