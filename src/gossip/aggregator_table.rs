//! The other aggregators and the sums of the nodes that report to them.

use {
    super::{
        GossipPeer, Item, PlanningData, ReceivedRound, Sender, SumHead,
        reporting_nodes::ReportEffect,
    },
    crate::{
        dispatch::{LoadSum, RunnerHash},
        traffic::NodeName,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// How long the sums of an aggregator count after its last datagram.
const AGGREGATOR_TTL: Duration = Duration::from_millis(1_500);

/// How long planning data (demand and usage by variant) counts after its arrival.
const PLANNING_DATA_TTL: Duration = Duration::from_millis(2_500);

/// The largest number of aggregators in the table.
const AGGREGATORS_MAX: usize = 256;

/// The largest number of runners in the table for each aggregator.
const RUNNERS_PER_AGGREGATOR_MAX: usize = 16_384;

#[derive(Debug)]
struct ReceivedSum {
    runner: RunnerHash,
    load: LoadSum,
    at: Instant,
}

/// Another aggregator and the last state received from it.
#[derive(Debug)]
pub(super) struct Aggregator {
    pub(super) peer: GossipPeer,
    pub(super) received: ReceivedRound,
    pub(super) members: u16,
    pub(super) plan_wanted: bool,
    /// The last sum round of this node that the aggregator acknowledged.
    pub(super) acknowledged_round: Option<u32>,
    pub(super) planning: PlanningData,
    sums: Vec<ReceivedSum>,
    received_at: Instant,
    plan_at: Instant,
    plan_round: u32,
}

/// The other aggregators, sorted by name.
#[derive(Debug, Default)]
pub(super) struct AggregatorTable(Vec<Aggregator>);

impl AggregatorTable {
    /// Applies one datagram of a sum round; `own_start` identifies this node's own process.
    pub(super) fn apply_sum(
        &mut self,
        sender: &Sender,
        address: SocketAddr,
        (head, own_start): (SumHead, u64),
        items: Vec<Item>,
        now: Instant,
    ) -> ReportEffect {
        let mut effect = ReportEffect::default();
        let found = self.0.binary_search_by(|a| a.peer.name.cmp(&sender.node));
        let position = match found {
            Ok(position) => position,
            Err(_) if self.0.len() >= AGGREGATORS_MAX => return effect,
            Err(position) => {
                effect.is_new_sender = true;
                self.0
                    .insert(position, Aggregator::new(sender, address, now));
                position
            }
        };
        let aggregator = &mut self.0[position];
        if aggregator.received.start != sender.start {
            *aggregator = Aggregator::new(sender, address, now);
            effect.is_new_sender = true;
        }
        let ahead = head.round.wrapping_sub(aggregator.received.round);
        if ahead > u32::MAX / 2 {
            return effect;
        }
        aggregator.peer.address = address;
        aggregator.received.round = head.round;
        aggregator.received_at = now;
        aggregator.members = head.members;
        aggregator.plan_wanted = head.plan_wanted;
        let heard = head.heard.filter(|heard| heard.start == own_start);
        if let Some(heard) = heard {
            aggregator.acknowledged_round = Some(heard.round);
        }
        let waiting = aggregator.planning.waiting_requests();
        items
            .into_iter()
            .for_each(|item| aggregator.apply_item(item, now));
        effect.more_requests_wait = aggregator.planning.waiting_requests() > waiting;
        effect
    }

    /// Removes aggregators that no longer send, and sums that did not arrive within `received_within`.
    pub(super) fn expire(&mut self, received_within: Duration, now: Instant) {
        self.0.retain(|a| now < a.received_at + AGGREGATOR_TTL);
        for aggregator in &mut self.0 {
            aggregator.sums.retain(|sum| now < sum.at + received_within);
            if now >= aggregator.plan_at + PLANNING_DATA_TTL {
                aggregator.planning = PlanningData::default();
            }
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Aggregator> {
        self.0.iter()
    }

    pub(super) fn get(&self, node: &NodeName) -> Option<&Aggregator> {
        let found = self.0.binary_search_by(|a| a.peer.name.cmp(node));
        found.ok().map(|position| &self.0[position])
    }

    pub(super) fn loads(&self) -> impl Iterator<Item = (RunnerHash, LoadSum)> {
        let sums = self.0.iter().flat_map(|aggregator| &aggregator.sums);
        sums.map(|sum| (sum.runner, sum.load))
    }
}

impl Aggregator {
    fn new(sender: &Sender, address: SocketAddr, now: Instant) -> Self {
        Self {
            peer: GossipPeer {
                name: sender.node.clone(),
                address,
            },
            received: ReceivedRound {
                start: sender.start,
                round: 0,
            },
            members: 0,
            plan_wanted: false,
            acknowledged_round: None,
            planning: PlanningData::default(),
            sums: Vec::new(),
            received_at: now,
            plan_at: now,
            plan_round: 0,
        }
    }

    fn apply_item(&mut self, item: Item, now: Instant) {
        match item {
            Item::Sum(runner, load) => self.set_load(runner, load, now),
            Item::Demand(_) | Item::Use(_) => {
                if self.plan_round != self.received.round {
                    self.plan_round = self.received.round;
                    self.planning = PlanningData::default();
                }
                self.plan_at = now;
                self.planning.insert(item);
            }
            _ => {}
        }
    }

    fn set_load(&mut self, runner: RunnerHash, load: LoadSum, now: Instant) {
        let found = self.sums.binary_search_by_key(&runner, |sum| sum.runner);
        match (found, load.has_requests()) {
            (Ok(position), true) => {
                self.sums[position].load = load;
                self.sums[position].at = now;
            }
            (Ok(position), false) => drop(self.sums.remove(position)),
            (Err(position), true) if self.sums.len() < RUNNERS_PER_AGGREGATOR_MAX => {
                let at = now;
                self.sums.insert(position, ReceivedSum { runner, load, at });
            }
            (Err(_), _) => {}
        }
    }
}
