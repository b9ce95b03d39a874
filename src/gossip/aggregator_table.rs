//! The other aggregators and the sums of the nodes that report to them.

use {
    super::{Contact, Heard, Item, Plan, Sender, SumHead, member_table::Reported},
    crate::{
        dispatch::{LoadSum, RunnerHash},
        traffic::NodeName,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// How long the sums of an aggregator count after its last datagram.
const KEPT: Duration = Duration::from_millis(1_500);

/// How long planning data (demand and usage by variant) counts after its arrival.
const PLAN_KEPT: Duration = Duration::from_millis(2_500);

/// The largest number of aggregators in the table.
const AGGREGATORS_MAX: usize = 256;

/// The largest number of runners in the table for each aggregator.
const SUMS_MAX: usize = 16_384;

#[derive(Debug)]
struct ToldSum {
    runner: RunnerHash,
    load: LoadSum,
    at: Instant,
}

/// Another aggregator and the last state received from it.
#[derive(Debug)]
pub(super) struct Aggregator {
    pub(super) contact: Contact,
    pub(super) heard: Heard,
    pub(super) members: u16,
    pub(super) plan_wanted: bool,
    /// The last sum round of this node that the aggregator acknowledged.
    pub(super) has_round: Option<u32>,
    pub(super) plan: Plan,
    sums: Vec<ToldSum>,
    heard_at: Instant,
    plan_at: Instant,
    plan_round: u32,
}

/// The other aggregators, sorted by name.
#[derive(Debug, Default)]
pub(super) struct AggregatorTable(Vec<Aggregator>);

impl AggregatorTable {
    /// Applies one datagram of a sum round; `own_start` identifies this node's own process.
    pub(super) fn hear(
        &mut self,
        sender: &Sender,
        address: SocketAddr,
        (head, own_start): (SumHead, u64),
        items: Vec<Item>,
        now: Instant,
    ) -> Reported {
        let mut reported = Reported::default();
        let found = self
            .0
            .binary_search_by(|a| a.contact.name.cmp(&sender.node));
        let position = match found {
            Ok(position) => position,
            Err(_) if self.0.len() >= AGGREGATORS_MAX => return reported,
            Err(position) => {
                reported.is_new = true;
                self.0
                    .insert(position, Aggregator::new(sender, address, now));
                position
            }
        };
        let aggregator = &mut self.0[position];
        if aggregator.heard.start != sender.start {
            *aggregator = Aggregator::new(sender, address, now);
            reported.is_new = true;
        }
        let ahead = head.round.wrapping_sub(aggregator.heard.round);
        if ahead > u32::MAX / 2 {
            return reported;
        }
        aggregator.contact.address = address;
        aggregator.heard.round = head.round;
        aggregator.heard_at = now;
        aggregator.members = head.members;
        aggregator.plan_wanted = head.plan_wanted;
        let heard = head.heard.filter(|heard| heard.start == own_start);
        if let Some(heard) = heard {
            aggregator.has_round = Some(heard.round);
        }
        let waiting = aggregator.plan.waiting();
        items
            .into_iter()
            .for_each(|item| aggregator.take(item, now));
        reported.more_wait = aggregator.plan.waiting() > waiting;
        reported
    }

    /// Removes aggregators that no longer send, and sums that did not arrive within `told_within`.
    pub(super) fn expire(&mut self, told_within: Duration, now: Instant) {
        self.0.retain(|a| now < a.heard_at + KEPT);
        for aggregator in &mut self.0 {
            aggregator.sums.retain(|sum| now < sum.at + told_within);
            if now >= aggregator.plan_at + PLAN_KEPT {
                aggregator.plan = Plan::default();
            }
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Aggregator> {
        self.0.iter()
    }

    pub(super) fn get(&self, node: &NodeName) -> Option<&Aggregator> {
        let found = self.0.binary_search_by(|a| a.contact.name.cmp(node));
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
            contact: Contact {
                name: sender.node.clone(),
                address,
            },
            heard: Heard {
                start: sender.start,
                round: 0,
            },
            members: 0,
            plan_wanted: false,
            has_round: None,
            plan: Plan::default(),
            sums: Vec::new(),
            heard_at: now,
            plan_at: now,
            plan_round: 0,
        }
    }

    fn take(&mut self, item: Item, now: Instant) {
        match item {
            Item::Sum(runner, load) => self.set(runner, load, now),
            Item::Demand(_) | Item::Use(_) => {
                if self.plan_round != self.heard.round {
                    self.plan_round = self.heard.round;
                    self.plan = Plan::default();
                }
                self.plan_at = now;
                self.plan.take(item);
            }
            _ => {}
        }
    }

    fn set(&mut self, runner: RunnerHash, load: LoadSum, now: Instant) {
        let found = self.sums.binary_search_by_key(&runner, |sum| sum.runner);
        match (found, load.has_requests()) {
            (Ok(position), true) => {
                self.sums[position].load = load;
                self.sums[position].at = now;
            }
            (Ok(position), false) => drop(self.sums.remove(position)),
            (Err(position), true) if self.sums.len() < SUMS_MAX => {
                let at = now;
                self.sums.insert(position, ToldSum { runner, load, at });
            }
            (Err(_), _) => {}
        }
    }
}
