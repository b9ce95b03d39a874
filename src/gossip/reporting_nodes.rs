//! The nodes that report to this aggregator, with their last reports.

use {
    super::{GossipPeer, Item, PlanningData, ReceivedRound, ReportHead, Sender},
    crate::{
        dispatch::{LoadSum, RunnerHash},
        traffic::NodeName,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// How long a report counts after its arrival.
const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// How long planning data counts, which is part of fewer reports than the load.
const PLANNING_DATA_TTL: Duration = Duration::from_secs(6);

/// The largest number of nodes that may report to one aggregator.
const REPORTING_NODES_MAX: usize = 2_048;

/// The number of rounds in which a new node gets a full digest, since datagrams get lost.
const FULL_DIGEST_ROUNDS: u8 = 2;

/// The parts of a report of which some are missing.
#[derive(Debug)]
struct PartialReport {
    head: ReportHead,
    items: Vec<Option<Vec<Item>>>,
}

/// A node that reports to this aggregator.
#[derive(Debug)]
pub(super) struct ReportingNode {
    pub(super) peer: GossipPeer,
    pub(super) received: ReceivedRound,
    pub(super) plan_wanted: bool,
    /// The number of rounds in which the node still gets a full digest.
    pub(super) full_rounds: u8,
    pub(super) planning: PlanningData,
    loads: Vec<(RunnerHash, LoadSum)>,
    received_at: Instant,
    plan_at: Instant,
    parts: Option<PartialReport>,
}

/// The changes by a report or a sum that need a round at once.
#[derive(Debug, Default)]
pub(super) struct ReportEffect {
    /// The sender was unknown before.
    pub(super) is_new_sender: bool,
    /// More requests wait for a copy than before.
    pub(super) more_requests_wait: bool,
}

/// The nodes that report to this aggregator, sorted by name.
#[derive(Debug, Default)]
pub(super) struct ReportingNodes(Vec<ReportingNode>);

impl ReportingNodes {
    /// Applies one part of a report; the report counts once all parts arrived.
    pub(super) fn apply_report(
        &mut self,
        sender: &Sender,
        address: SocketAddr,
        head: ReportHead,
        items: Vec<Item>,
        now: Instant,
    ) -> ReportEffect {
        let mut effect = ReportEffect::default();
        let found = self.0.binary_search_by(|m| m.peer.name.cmp(&sender.node));
        let position = match found {
            Ok(position) => position,
            Err(_) if self.0.len() >= REPORTING_NODES_MAX => return effect,
            Err(position) => {
                effect.is_new_sender = true;
                self.0
                    .insert(position, ReportingNode::new(sender, address, now));
                position
            }
        };
        let reporter = &mut self.0[position];
        if reporter.received.start != sender.start {
            *reporter = ReportingNode::new(sender, address, now);
            effect.is_new_sender = true;
        }
        reporter.peer.address = address;
        let waiting = reporter.planning.waiting_requests();
        if let Some((head, items)) = reporter.add_part(head, items) {
            reporter.replace_report(head, items, now);
            effect.more_requests_wait = reporter.planning.waiting_requests() > waiting;
        }
        effect
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.0.retain(|m| now < m.received_at + REPORT_TTL);
        for reporter in self
            .0
            .iter_mut()
            .filter(|m| now >= m.plan_at + PLANNING_DATA_TTL)
        {
            reporter.planning = PlanningData::default();
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &ReportingNode> {
        self.0.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut ReportingNode> {
        self.0.iter_mut()
    }

    /// Returns whether a node got no digest yet.
    pub(super) fn has_node_without_digest(&self) -> bool {
        self.0
            .iter()
            .any(|reporter| reporter.full_rounds == FULL_DIGEST_ROUNDS)
    }

    pub(super) fn contains(&self, node: &NodeName) -> bool {
        let found = self.0.binary_search_by(|m| m.peer.name.cmp(node));
        found.is_ok()
    }

    pub(super) fn loads(&self) -> impl Iterator<Item = (RunnerHash, LoadSum)> {
        self.0
            .iter()
            .flat_map(|reporter| reporter.loads.iter().copied())
    }
}

impl ReportingNode {
    fn new(sender: &Sender, address: SocketAddr, now: Instant) -> Self {
        let received = ReceivedRound {
            start: sender.start,
            round: 0,
        };
        Self {
            peer: GossipPeer {
                name: sender.node.clone(),
                address,
            },
            received,
            plan_wanted: false,
            full_rounds: FULL_DIGEST_ROUNDS,
            planning: PlanningData::default(),
            loads: Vec::new(),
            received_at: now,
            plan_at: now,
            parts: None,
        }
    }

    /// Adds a part and returns the report if it is complete and newer than the last one.
    fn add_part(&mut self, head: ReportHead, items: Vec<Item>) -> Option<(ReportHead, Vec<Item>)> {
        let is_newer = |round: u32, than: u32| {
            let ahead = round.wrapping_sub(than);
            ahead > 0 && ahead < u32::MAX / 2
        };
        if !is_newer(head.round, self.received.round) || head.part >= head.parts {
            return None;
        }
        let same = |parts: &PartialReport| {
            parts.head.round == head.round && parts.items.len() == usize::from(head.parts)
        };
        if !self.parts.as_ref().is_some_and(same) {
            let pending = self.parts.as_ref().map(|parts| parts.head.round);
            if pending.is_some_and(|pending| is_newer(pending, head.round)) {
                return None;
            }
            let items = vec![None; usize::from(head.parts)];
            self.parts = Some(PartialReport { head, items });
        }
        let parts = self.parts.as_mut()?;
        parts.items[usize::from(head.part)] = Some(items);
        if parts.items.iter().any(Option::is_none) {
            return None;
        }
        let parts = self.parts.take()?;
        Some((head, parts.items.into_iter().flatten().flatten().collect()))
    }

    fn replace_report(&mut self, head: ReportHead, items: Vec<Item>, now: Instant) {
        self.received.round = head.round;
        self.received_at = now;
        self.plan_wanted = head.plan_wanted;
        self.loads.clear();
        if head.has_plan {
            self.planning = PlanningData::default();
            self.plan_at = now;
        }
        for item in items {
            match item {
                Item::Sum(runner, load) => self.loads.push((runner, load)),
                other => self.planning.insert(other),
            }
        }
    }
}
