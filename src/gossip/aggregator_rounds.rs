//! Rounds of an aggregator: digests to the nodes that report to it, sums to other aggregators.

use {
    super::{
        Contact, DigestHead, Exchange, Heard, Item, Kind, Learnt, News, Outgoing, Plan, SumHead,
        Surroundings, add_up, exchange::AggregatorChoice, frame, pack, ranking, zones,
    },
    crate::{
        dispatch::{AggregatorReport, LoadSum, RunnerHash},
        leader::PeerNode,
        traffic::NodeName,
    },
    std::time::Duration,
};

/// The interval at which planning data is sent to nodes that plan.
const PLANNING_DATA_INTERVAL: Duration = Duration::from_millis(700);

/// The shortest interval between two sends of planning data while more requests wait for a copy.
const URGENT_PLANNING_DATA_INTERVAL: Duration = Duration::from_millis(100);

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
    plan: bool,
    /// Urgent events are forwarded; aggregators that have none to receive still get the
    /// acknowledgement in the head.
    news: bool,
}

impl Exchange {
    /// Sends digests of the whole system to the nodes that report here, and the sums of these nodes
    /// to other aggregators.
    pub(super) fn send_digests_and_sums(
        &mut self,
        own: &AggregatorReport,
        context: &Surroundings,
        output: &mut Learnt,
    ) {
        let now = context.now;
        let sums_due = now >= self.due.digest;
        let plan_due = now >= self.due.digest_planning_data
            || (self.more_requests_wait && now >= self.due.urgent_planning_data);
        if !(sums_due
            || plan_due
            || self.forwarded_events.has_unforwarded()
            || self.reporting_nodes.has_node_without_digest())
        {
            return;
        }
        let peers = context.peers.len();
        if sums_due {
            self.due.digest = now + Self::round(peers);
        }
        let full = sums_due && now >= self.due.full_digest;
        if full {
            self.due.full_digest = now + Self::full_digest_interval(peers);
        }
        if plan_due {
            self.due.digest_planning_data = now + PLANNING_DATA_INTERVAL;
            self.due.urgent_planning_data = now + URGENT_PLANNING_DATA_INTERVAL;
            self.more_requests_wait = false;
        }
        self.sum_round = self.sum_round.wrapping_add(1);
        let (for_members, for_aggregators) = self.forwarded_events.next_round(self.sum_round);
        let has_news = !for_members.is_empty();
        let direct = add_up(self.reporting_nodes.loads());
        let total = add_up(direct.iter().copied().chain(self.aggregators.loads()));
        let due = RoundDue {
            sums: sums_due,
            full,
            plan: plan_due,
            news: has_news,
        };
        self.send_digests(&total, for_members, due, context, output);
        if self.choice == AggregatorChoice::ThisNode {
            self.apply_own_digest(own, &total, due, context, output);
        }
        self.send_sums(&direct, for_aggregators, due, context, output);
    }

    fn send_digests(
        &mut self,
        total: &LoadsByRunner,
        news: Vec<Item>,
        due: RoundDue,
        context: &Surroundings,
        output: &mut Learnt,
    ) {
        let sender = self.sender(context.config_version);
        let config = newer_config_item(context);
        let changes = match due.sums {
            true => self
                .digest_delta
                .changes(total, due.full, Self::prompt_detail(context)),
            false => Vec::new(),
        };
        let news = if due.full {
            self.forwarded_events.recent_events().collect()
        } else {
            news
        };
        let head: Vec<_> = news.into_iter().chain(config.clone()).collect();
        let changed = match due.sums || due.news {
            true => pack(&sender, head.into_iter().chain(sum_items(&changes))),
            false => Vec::new(),
        };
        let recent = self.forwarded_events.recent_events().chain(config);
        let whole = pack(&sender, recent.chain(sum_items(total)));
        let planners = self
            .reporting_nodes
            .iter()
            .filter(|m| m.plan_wanted && due.plan);
        let planners: Vec<_> = planners.map(|m| m.contact.name.clone()).collect();
        let plans: Vec<_> = planners
            .iter()
            .map(|node| self.planning_data_without(node))
            .collect();
        for reporter in self.reporting_nodes.iter_mut() {
            if reporter.contact.name == self.own_node.name {
                continue;
            }
            let is_new = reporter.full_rounds > 0;
            reporter.full_rounds = reporter.full_rounds.saturating_sub(1);
            let kind = Kind::Digest(DigestHead {
                full: due.full || is_new,
                large: context.is_large,
                heard: Some(reporter.received),
            });
            let planner = planners
                .iter()
                .position(|node| *node == reporter.contact.name);
            let plan = planner.map(|at| pack(&sender, plans[at].items()));
            let bodies = if is_new { &whole } else { &changed };
            for body in bodies.iter().chain(plan.iter().flatten()) {
                let address = reporter.contact.address;
                let bytes = frame(&sender, &kind, body);
                output.outgoing.push(Outgoing { address, bytes });
            }
        }
    }

    /// Applies the sums to this node itself, which reports to its own aggregator.
    fn apply_own_digest(
        &mut self,
        own: &AggregatorReport,
        total: &LoadsByRunner,
        due: RoundDue,
        context: &Surroundings,
        output: &mut Learnt,
    ) {
        if own.plan_wanted && due.plan {
            output.plan = self.planning_data_without(&self.own_node.name);
        }
        if !due.sums {
            return;
        }
        output.replace = true;
        self.has_full_digest = true;
        output.renew_within = Some(Self::sums_ttl(context.peers.len()));
        let heard = Some(Heard {
            start: self.start,
            round: self.report_round,
        });
        let others = total.iter().map(|&(runner, sum)| {
            let others = self.report_history.others(self.start, heard, runner, sum);
            (runner, others)
        });
        output.sums = others.collect();
    }

    fn planning_data_without(&self, node: &NodeName) -> Plan {
        let members = self
            .reporting_nodes
            .iter()
            .filter(|m| m.contact.name != *node);
        let members = members.map(|reporter| &reporter.plan);
        Plan::sum(members.chain(self.aggregators.iter().map(|a| &a.plan)))
    }

    fn send_sums(
        &mut self,
        direct: &LoadsByRunner,
        news: Vec<Item>,
        due: RoundDue,
        context: &Surroundings,
        output: &mut Learnt,
    ) {
        let now = context.now;
        let sender = self.sender(context.config_version);
        let changes = match due.sums {
            true => self
                .sum_delta
                .changes(direct, due.full, Self::prompt_detail(context)),
            false => Vec::new(),
        };
        let head = || news.iter().cloned().chain(newer_config_item(context));
        let changed = match due.sums || due.news {
            true => pack(&sender, head().chain(sum_items(&changes))),
            false => Vec::new(),
        };
        let recent = self
            .forwarded_events
            .recent_events()
            .chain(newer_config_item(context));
        let whole = pack(&sender, recent.chain(sum_items(direct)));
        let targets = self.sum_targets(context);
        let is_wanted = |node: &NodeName| {
            let aggregator = self.aggregators.get(node);
            due.plan && aggregator.is_some_and(|aggregator| aggregator.plan_wanted)
        };
        let plan = targets.iter().any(|target| is_wanted(&target.name));
        let plan =
            plan.then(|| Plan::sum(self.reporting_nodes.iter().map(|reporter| &reporter.plan)));
        let plan = plan.map_or(Vec::new(), |plan| pack(&sender, plan.items()));
        let members = u16::try_from(self.reporting_nodes.iter().count()).unwrap_or(u16::MAX);
        let plan_wanted = self
            .reporting_nodes
            .iter()
            .any(|reporter| reporter.plan_wanted);
        self.sums_sent.retain(|(_, at)| now < *at + SENT_SUMS_TTL);
        for target in targets {
            let known = self.aggregators.get(&target.name);
            let kind = Kind::Sum(SumHead {
                round: self.sum_round,
                members,
                plan_wanted,
                heard: known.map(|aggregator| aggregator.received),
            });
            let sent = self.sums_sent.iter().position(|(n, _)| *n == target.name);
            let bodies = if sent.is_some() { &changed } else { &whole };
            if bodies.is_empty() && !is_wanted(&target.name) {
                continue;
            }
            let plan = plan.iter().filter(|_| is_wanted(&target.name));
            for body in bodies.iter().chain(plan) {
                let address = target.address;
                let bytes = frame(&sender, &kind, body);
                output.outgoing.push(Outgoing { address, bytes });
            }
            match sent {
                Some(position) => self.sums_sent[position].1 = now,
                None => self.sums_sent.push((target.name.clone(), now)),
            }
            self.failure_detector.record_request(&target.name, now);
        }
    }

    /// Returns the aggregators that receive sums: the first ones of each data centre's ranking, and
    /// all others from which sums arrive.
    fn sum_targets(&self, context: &Surroundings) -> Vec<Contact> {
        let now = context.now;
        let active = self.aggregators.iter().filter(|a| a.members > 0);
        let mut targets: Vec<_> = active.map(|a| a.contact.clone()).collect();
        for zone in zones(context.peers) {
            let mut first = 0;
            for node in ranking(context.peers, zone) {
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
        context: &Surroundings,
        output: &mut Learnt,
    ) {
        for (round, news) in self.forwarded_events.take_unacknowledged(context.now) {
            self.send_event_directly(round, &news, context, output);
        }
    }

    fn send_event_directly(
        &self,
        round: u32,
        news: &News,
        context: &Surroundings,
        output: &mut Learnt,
    ) {
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
                (zone_of(&aggregator.contact.name), has)
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
        let uncovered: Vec<_> = uncovered.map(|peer| peer.gossip_address).collect();
        for bytes in self.encode_direct(vec![Item::News(news.clone())], context) {
            output
                .outgoing
                .extend(uncovered.iter().map(|&address| Outgoing {
                    address,
                    bytes: bytes.clone(),
                }));
        }
    }
}

fn sum_items(loads: &LoadsByRunner) -> impl Iterator<Item = Item> {
    loads.iter().map(|&(runner, load)| Item::Sum(runner, load))
}

fn newer_config_item(context: &Surroundings) -> Option<Item> {
    let (node, version) = context.newest_config?;
    let newer = version > context.config_version;
    newer.then(|| Item::Config(node.clone(), version))
}
