//! Rounds of an aggregator: digests to the nodes that report to it, sums to other aggregators.

use {
    super::{
        AggregationContext, AggregationOutput, AggregationProtocol, DatagramKind, DatagramPurpose,
        DigestHead, GossipPeer, Item, Outgoing, PlanningData, ReceivedRound, SumHead,
        aggregation::AggregatorChoice,
        encode_bodies, encode_datagram, rank_nodes,
        round_limits::{PACKED_EVENT_BYTES, RoundLimits},
        sorted_zones, sum_by_runner,
    },
    crate::{
        dispatch::{AggregatorReport, LoadSum, RunnerHash},
        leader::PeerNode,
        quarantine::QuarantineMessage,
        traffic::NodeName,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// The interval at which planning data is sent to nodes that plan.
const PLANNING_DATA_INTERVAL: Duration = Duration::from_millis(700);

/// The shortest interval between two sends of planning data while more requests wait for a copy.
const URGENT_PLANNING_DATA_INTERVAL: Duration = Duration::from_millis(100);

/// The longest interval between two sends of planning data, within which it must come again before
/// it is outdated.
const PLANNING_DATA_INTERVAL_MAX: Duration = Duration::from_millis(1_000);

/// The share of the link's budget that planning data takes.
const PLANNING_DATA_SHARE: f64 = 0.25;

/// The number of responsive aggregators in each data centre that receive sums.
const SUM_TARGETS_PER_ZONE: usize = 2;

/// How long after a send of sums an aggregator gets only changes instead of all sums.
const SENT_SUMS_TTL: Duration = Duration::from_secs(2);

type LoadsByRunner = Vec<(RunnerHash, LoadSum)>;

/// The parts of a round that are due.
#[derive(Debug, Clone, Copy)]
struct RoundDue {
    sums: bool,
    full: bool,
    planning_data: bool,
    /// Urgent events are forwarded; aggregators that have none to receive still get the
    /// acknowledgement in the head.
    events: bool,
    limits: RoundLimits,
}

impl AggregationProtocol {
    /// Sends digests of the whole system to the nodes that report here, and the sums of these nodes
    /// to other aggregators.
    pub(super) fn send_digests_and_sums(
        &mut self,
        own: &AggregatorReport,
        context: &AggregationContext,
        output: &mut AggregationOutput,
    ) {
        let now = context.now;
        if !self.budget.is_free(now) {
            return;
        }
        let sums_due = now >= self.due.digest;
        let planning_due = now >= self.due.digest_planning_data
            || (self.more_requests_wait && now >= self.due.urgent_planning_data);
        if !(sums_due
            || planning_due
            || self.forwarded_events.has_unforwarded()
            || self.reporting_nodes.has_node_without_digest())
        {
            return;
        }
        let peers = context.peers.len();
        if sums_due {
            self.due.digest = now + Self::round_interval(peers);
        }
        let full = sums_due && now >= self.due.full_digest;
        if full {
            self.due.full_digest = now + Self::full_digest_interval(peers);
        }
        self.sum_round = self.sum_round.wrapping_add(1);
        self.digest_round = self.digest_round.wrapping_add(usize::from(sums_due));
        let targets = self.sum_targets(context);
        let limits = self.round_limits(targets.len(), peers);
        let (for_reporting_nodes, for_aggregators) =
            self.forwarded_events
                .next_round(self.sum_round, limits.events_max, now);
        let has_events = !for_reporting_nodes.is_empty();
        let direct = sum_by_runner(self.reporting_nodes.loads());
        let total = sum_by_runner(direct.iter().copied().chain(self.aggregators.loads()));
        let due = RoundDue {
            sums: sums_due,
            full,
            planning_data: planning_due,
            events: has_events,
            limits,
        };
        let lasting = lasting_items(own);
        let planning_bytes =
            self.send_digests(&total, for_reporting_nodes, &lasting, due, context, output);
        if self.choice == AggregatorChoice::ThisNode {
            self.apply_own_digest(own, &total, due, context, output);
        }
        let for_aggregators = (targets, for_aggregators);
        let planning_bytes = planning_bytes
            + self.send_sums(&direct, for_aggregators, &lasting, due, context, output);
        if planning_due {
            self.planning_data_sent(planning_bytes, now);
        }
    }

    /// Returns the limits of a round that also goes to a number of aggregators.
    fn round_limits(&self, aggregators: usize, peers: usize) -> RoundLimits {
        let nodes = self.reporting_nodes.iter().count();
        let repeated_to = nodes.div_ceil(Self::rounds_per_full_digest(peers).max(1));
        RoundLimits::new(&self.budget, nodes + aggregators, repeated_to)
    }

    /// Schedules the next planning data, so that it takes its share of the link's budget.
    fn planning_data_sent(&mut self, bytes: usize, now: Instant) {
        let span = self.budget.span(bytes, PLANNING_DATA_SHARE);
        let span = span.min(PLANNING_DATA_INTERVAL_MAX);
        self.due.digest_planning_data = now + span.max(PLANNING_DATA_INTERVAL);
        self.due.urgent_planning_data = now + span.max(URGENT_PLANNING_DATA_INTERVAL);
        self.more_requests_wait = false;
    }

    /// Sends digests to the nodes that report here; returns the bytes of planning data in them.
    fn send_digests(
        &mut self,
        total: &LoadsByRunner,
        events: Vec<Item>,
        lasting: &[Item],
        due: RoundDue,
        context: &AggregationContext,
        output: &mut AggregationOutput,
    ) -> usize {
        let sender = self.sender(context.config_version);
        let config = newer_config_item(context);
        let changes = match due.sums {
            true => self
                .digest_delta
                .changes(total, due.full, Self::prompt_detail(context)),
            false => Vec::new(),
        };
        let head: Vec<_> = events.into_iter().chain(config.clone()).collect();
        let changed = match due.sums || due.events {
            true => encode_bodies(&sender, head.into_iter().chain(sum_items(&changes))),
            false => Vec::new(),
        };
        let recent = || {
            let events = self
                .forwarded_events
                .recent_events(due.limits.repeated_events_max);
            let events = events.into_iter().chain(config.clone());
            events.chain(lasting.iter().cloned())
        };
        let whole = encode_bodies(&sender, recent().chain(sum_items(total)));
        let with_recent = encode_bodies(&sender, recent().chain(sum_items(&changes)));
        let planners = self
            .reporting_nodes
            .iter()
            .filter(|m| m.plan_wanted && due.planning_data);
        let planners: Vec<_> = planners.map(|m| m.peer.name.clone()).collect();
        let plans: Vec<_> = planners
            .iter()
            .map(|node| self.planning_data_without(node))
            .collect();
        let turns = Self::rounds_per_full_digest(context.peers.len());
        let mut new_bytes_left = due.limits.new_receivers_bytes;
        let mut planning_bytes = 0;
        for (position, reporter) in self.reporting_nodes.iter_mut().enumerate() {
            if reporter.peer.name == self.own_node.name {
                continue;
            }
            let is_new = reporter.full_rounds > 0 && new_bytes_left > 0;
            if is_new {
                reporter.full_rounds -= 1;
                new_bytes_left = new_bytes_left.saturating_sub(byte_count(&whole));
            }
            let kind = DatagramKind::Digest(DigestHead {
                full: due.full || is_new,
                large: context.is_large,
                heard: Some(reporter.received),
            });
            let planner = planners.iter().position(|node| *node == reporter.peer.name);
            let plan = planner.map(|at| encode_bodies(&sender, plans[at].items()));
            // The nodes take turns with all recent events, which keeps the rounds small.
            let has_turn = due.sums && (self.digest_round + position).is_multiple_of(turns);
            let bodies = match (is_new, has_turn) {
                (true, _) => &whole,
                (false, true) => &with_recent,
                (false, false) => &changed,
            };
            planning_bytes += plan.as_deref().map_or(0, byte_count);
            for body in bodies.iter().chain(plan.iter().flatten()) {
                let address = reporter.peer.address;
                let bytes = encode_datagram(&sender, &kind, body);
                output.outgoing.push(Outgoing {
                    address,
                    purpose: DatagramPurpose::Digest,
                    bytes,
                });
            }
        }
        planning_bytes
    }

    /// Applies the sums to this node itself, which reports to its own aggregator.
    fn apply_own_digest(
        &mut self,
        own: &AggregatorReport,
        total: &LoadsByRunner,
        due: RoundDue,
        context: &AggregationContext,
        output: &mut AggregationOutput,
    ) {
        if own.plan_wanted && due.planning_data {
            output.planning = self.planning_data_without(&self.own_node.name);
        }
        if !due.sums {
            return;
        }
        output.replace_sums = true;
        self.digest_watch.record(context.now);
        self.has_full_digest = true;
        output.renew_received_within = Some(Self::sums_ttl(context.peers.len()));
        let heard = Some(ReceivedRound {
            start: self.start,
            round: self.report_round,
        });
        let others = total.iter().map(|&(runner, sum)| {
            let others = self
                .report_history
                .subtract_own(self.start, heard, runner, sum);
            (runner, others)
        });
        output.sums = others.collect();
    }

    fn planning_data_without(&self, node: &NodeName) -> PlanningData {
        let members = self.reporting_nodes.iter().filter(|m| m.peer.name != *node);
        let members = members.map(|reporter| &reporter.planning);
        PlanningData::merge(members.chain(self.aggregators.iter().map(|a| &a.planning)))
    }

    /// Sends sums and events to aggregators; returns the bytes of planning data among them.
    fn send_sums(
        &mut self,
        direct: &LoadsByRunner,
        (targets, events): (Vec<GossipPeer>, Vec<Item>),
        lasting: &[Item],
        due: RoundDue,
        context: &AggregationContext,
        output: &mut AggregationOutput,
    ) -> usize {
        let now = context.now;
        let sender = self.sender(context.config_version);
        let changes = match due.sums {
            true => self
                .sum_delta
                .changes(direct, due.full, Self::prompt_detail(context)),
            false => Vec::new(),
        };
        let head = || events.iter().cloned().chain(newer_config_item(context));
        let changed = match due.sums || due.events {
            true => encode_bodies(&sender, head().chain(sum_items(&changes))),
            false => Vec::new(),
        };
        let recent = self
            .forwarded_events
            .recent_events(due.limits.repeated_events_max);
        let recent = recent.into_iter().chain(newer_config_item(context));
        let recent = recent.chain(lasting.iter().cloned());
        let whole = encode_bodies(&sender, recent.chain(sum_items(direct)));
        let is_wanted = |node: &NodeName| {
            let aggregator = self.aggregators.get(node);
            due.planning_data && aggregator.is_some_and(|aggregator| aggregator.plan_wanted)
        };
        let plan = targets.iter().any(|target| is_wanted(&target.name));
        let plan = plan.then(|| {
            PlanningData::merge(
                self.reporting_nodes
                    .iter()
                    .map(|reporter| &reporter.planning),
            )
        });
        let plan = plan.map_or(Vec::new(), |plan| encode_bodies(&sender, plan.items()));
        let members = u16::try_from(self.reporting_nodes.iter().count()).unwrap_or(u16::MAX);
        let plan_wanted = self
            .reporting_nodes
            .iter()
            .any(|reporter| reporter.plan_wanted);
        self.sums_sent.retain(|(_, at)| now < *at + SENT_SUMS_TTL);
        let mut new_bytes_left = due.limits.new_receivers_bytes;
        let mut planning_bytes = 0;
        for target in targets {
            let known = self.aggregators.get(&target.name);
            let kind = DatagramKind::Sum(SumHead {
                round: self.sum_round,
                members,
                plan_wanted,
                heard: known.map(|aggregator| aggregator.received),
            });
            let sent = self.sums_sent.iter().position(|(n, _)| *n == target.name);
            let is_new = sent.is_none() && new_bytes_left > 0;
            let bodies = if is_new { &whole } else { &changed };
            if bodies.is_empty() && !is_wanted(&target.name) {
                continue;
            }
            if is_new {
                new_bytes_left = new_bytes_left.saturating_sub(byte_count(&whole));
            }
            let plan = plan.iter().filter(|_| is_wanted(&target.name));
            planning_bytes += plan.clone().map(Vec::len).sum::<usize>();
            for body in bodies.iter().chain(plan) {
                let address = target.address;
                let bytes = encode_datagram(&sender, &kind, body);
                output.outgoing.push(Outgoing {
                    address,
                    purpose: DatagramPurpose::Sum,
                    bytes,
                });
            }
            match sent {
                Some(position) => self.sums_sent[position].1 = now,
                None if is_new => self.sums_sent.push((target.name.clone(), now)),
                None => {}
            }
            self.failure_detector.record_request(&target.name, now);
        }
        planning_bytes
    }

    /// Returns the aggregators that receive sums: the first ones of each data centre's ranking, and
    /// all others from which sums arrive.
    fn sum_targets(&self, context: &AggregationContext) -> Vec<GossipPeer> {
        let now = context.now;
        let active = self.aggregators.iter().filter(|a| a.members > 0);
        let mut targets: Vec<_> = active.map(|a| a.peer.clone()).collect();
        for zone in sorted_zones(context.peers) {
            let mut first = 0;
            for node in rank_nodes(context.peers, zone) {
                if first == SUM_TARGETS_PER_ZONE {
                    break;
                }
                let silent = self.failure_detector.is_suspected(&node.name, now);
                first += usize::from(!silent);
                if !silent || self.failure_detector.is_probe_due(&node.name, now) {
                    targets.push(node.into());
                }
            }
        }
        targets.retain(|target| target.name != self.own_node.name);
        targets.sort_by(|a, b| a.name.cmp(&b.name));
        targets.dedup_by(|a, b| a.name == b.name);
        targets
    }

    /// Sends urgent events directly to nodes whose aggregators did not acknowledge them in time.
    pub(super) fn send_unacknowledged_events(
        &mut self,
        context: &AggregationContext,
        output: &mut AggregationOutput,
    ) {
        if !self.budget.is_free(context.now) {
            return;
        }
        let timeout = Self::ack_timeout(context.peers.len());
        let overdue = self.forwarded_events.unacknowledged(timeout, context.now);
        let mut bytes_left = self
            .round_limits(0, context.peers.len())
            .unacknowledged_bytes;
        let mut by_receivers: Vec<(Vec<SocketAddr>, Vec<Item>)> = Vec::new();
        for (round, urgent_event) in overdue {
            // The events that are left follow once the budget is free again.
            if bytes_left == 0 {
                break;
            }
            self.forwarded_events
                .set_acknowledgement_checked(&urgent_event);
            let (receivers, item) = (self.uncovered(round, context), Item::News(urgent_event));
            bytes_left = bytes_left.saturating_sub(receivers.len() * PACKED_EVENT_BYTES);
            match by_receivers
                .iter_mut()
                .find(|(known, _)| *known == receivers)
            {
                Some((_, items)) => items.push(item),
                None => by_receivers.push((receivers, vec![item])),
            }
        }
        for (receivers, items) in by_receivers {
            for bytes in self.encode_direct(items, context) {
                let outgoing = receivers.iter().map(|&address| Outgoing {
                    address,
                    purpose: DatagramPurpose::Event,
                    bytes: bytes.clone(),
                });
                output.outgoing.extend(outgoing);
            }
        }
    }

    /// Returns the nodes that report elsewhere and whose aggregators did not acknowledge a round.
    fn uncovered(&self, round: u32, context: &AggregationContext) -> Vec<SocketAddr> {
        let zone_of = |node: &NodeName| {
            let peer = context.peers.iter().find(|peer| peer.name == *node);
            peer.map(|peer| &peer.zone)
        };
        let others = self.aggregators.iter().filter(|a| a.members > 0);
        let others: Vec<_> = others
            .map(|aggregator| {
                let acknowledged = aggregator.acknowledged_round;
                let has = acknowledged
                    .is_some_and(|acknowledged| acknowledged.wrapping_sub(round) < u32::MAX / 2);
                (zone_of(&aggregator.peer.name), has)
            })
            .collect();
        let is_covered = |peer: &PeerNode| {
            let mut of_zone = others.iter().filter(|(zone, _)| *zone == Some(&peer.zone));
            let first = of_zone.next();
            first.is_some_and(|(_, has)| *has) && of_zone.all(|(_, has)| *has)
        };
        let uncovered = context.peers.iter().filter(|peer| {
            peer.name != self.own_node.name
                && !self.reporting_nodes.contains(&peer.name)
                && !is_covered(peer)
        });
        uncovered.map(|peer| peer.gossip_address).collect()
    }
}

fn byte_count(bodies: &[Vec<u8>]) -> usize {
    bodies.iter().map(Vec::len).sum()
}

fn sum_items(loads: &LoadsByRunner) -> impl Iterator<Item = Item> {
    loads.iter().map(|&(runner, load)| Item::Sum(runner, load))
}

/// Returns the state that new nodes need and that no later event repeats.
fn lasting_items(own: &AggregatorReport) -> Vec<Item> {
    let verdicts = own.verdicts.iter().copied();
    let verdicts = verdicts.map(QuarantineMessage::Verdict);
    let limits = own.known_limits.iter().cloned();
    let items = verdicts.map(Item::Quarantine);
    items.chain(limits.map(Item::Limit)).collect()
}

fn newer_config_item(context: &AggregationContext) -> Option<Item> {
    let (node, version) = context.newest_config?;
    let newer = version > context.config_version;
    newer.then(|| Item::Config(node.clone(), version))
}
