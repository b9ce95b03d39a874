//! Rounds of an aggregator: digests to the nodes that report to it, sums to other aggregators.

use {
    super::{
        Contact, DigestHead, Exchange, Heard, Item, Kind, Learnt, News, Outgoing, Plan, SumHead,
        Surroundings, add_up, exchange::Choice, frame, pack, ranking, zones,
    },
    crate::{
        dispatch::{AggregatorReport, LoadSum, RunnerHash},
        leader::PeerNode,
        traffic::NodeName,
    },
    std::time::Duration,
};

/// The interval at which planning data is sent to nodes that plan.
const PLANNERS: Duration = Duration::from_millis(700);

/// The shortest interval between two sends of planning data while more requests wait for a copy.
const WAITING_MIN: Duration = Duration::from_millis(100);

/// The number of responsive aggregators in each data centre that receive sums.
const AGGREGATORS: usize = 2;

/// How long after a send of sums an aggregator gets only changes instead of all sums.
const SUMS_HAD: Duration = Duration::from_secs(2);

type Loads = Vec<(RunnerHash, LoadSum)>;

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
    pub(super) fn digest(
        &mut self,
        own: &AggregatorReport,
        around: &Surroundings,
        learnt: &mut Learnt,
    ) {
        let now = around.now;
        let sums_due = now >= self.due.digest;
        let plan_due = now >= self.due.planners || (self.more_wait && now >= self.due.waiting);
        if !(sums_due || plan_due || self.relays.has_new() || self.members.has_new()) {
            return;
        }
        let peers = around.peers.len();
        if sums_due {
            self.due.digest = now + Self::round(peers);
        }
        let full = sums_due && now >= self.due.full;
        if full {
            self.due.full = now + Self::full_round(peers);
        }
        if plan_due {
            self.due.planners = now + PLANNERS;
            self.due.waiting = now + WAITING_MIN;
            self.more_wait = false;
        }
        self.sum_round = self.sum_round.wrapping_add(1);
        let (for_members, for_aggregators) = self.relays.round(self.sum_round);
        let has_news = !for_members.is_empty();
        let direct = add_up(self.members.loads());
        let total = add_up(direct.iter().copied().chain(self.aggregators.loads()));
        let due = RoundDue {
            sums: sums_due,
            full,
            plan: plan_due,
            news: has_news,
        };
        self.digest_members(&total, for_members, due, around, learnt);
        if self.choice == Choice::Own {
            self.digest_own(own, &total, due, around, learnt);
        }
        self.send_sums(&direct, for_aggregators, due, around, learnt);
    }

    fn digest_members(
        &mut self,
        total: &Loads,
        news: Vec<Item>,
        due: RoundDue,
        around: &Surroundings,
        learnt: &mut Learnt,
    ) {
        let sender = self.sender(around.config_version);
        let config = config_item(around);
        let changes = match due.sums {
            true => self
                .digest_teller
                .changes(total, due.full, Self::detail(around)),
            false => Vec::new(),
        };
        let news = if due.full {
            self.relays.of_late().collect()
        } else {
            news
        };
        let head: Vec<_> = news.into_iter().chain(config.clone()).collect();
        let changed = match due.sums || due.news {
            true => pack(&sender, head.into_iter().chain(sums(&changes))),
            false => Vec::new(),
        };
        let late = self.relays.of_late().chain(config);
        let whole = pack(&sender, late.chain(sums(total)));
        let planners = self.members.iter().filter(|m| m.plan_wanted && due.plan);
        let planners: Vec<_> = planners.map(|m| m.contact.name.clone()).collect();
        let plans: Vec<_> = planners.iter().map(|node| self.plan_but_of(node)).collect();
        for member in self.members.iter_mut() {
            if member.contact.name == self.me.name {
                continue;
            }
            let is_new = member.full_rounds > 0;
            member.full_rounds = member.full_rounds.saturating_sub(1);
            let kind = Kind::Digest(DigestHead {
                full: due.full || is_new,
                large: around.is_large,
                heard: Some(member.heard),
            });
            let planner = planners
                .iter()
                .position(|node| *node == member.contact.name);
            let plan = planner.map(|at| pack(&sender, plans[at].items()));
            let bodies = if is_new { &whole } else { &changed };
            for body in bodies.iter().chain(plan.iter().flatten()) {
                let address = member.contact.address;
                let bytes = frame(&sender, &kind, body);
                learnt.outgoing.push(Outgoing { address, bytes });
            }
        }
    }

    /// Applies the sums to this node itself, which reports to its own aggregator.
    fn digest_own(
        &mut self,
        own: &AggregatorReport,
        total: &Loads,
        due: RoundDue,
        around: &Surroundings,
        learnt: &mut Learnt,
    ) {
        if own.plan_wanted && due.plan {
            learnt.plan = self.plan_but_of(&self.me.name);
        }
        if !due.sums {
            return;
        }
        learnt.replace = true;
        self.has_digest = true;
        learnt.renew_within = Some(Self::sums_kept(around.peers.len()));
        let heard = Some(Heard {
            start: self.start,
            round: self.report_round,
        });
        let others = total.iter().map(|&(runner, sum)| {
            let others = self.history.others(self.start, heard, runner, sum);
            (runner, others)
        });
        learnt.sums = others.collect();
    }

    fn plan_but_of(&self, node: &NodeName) -> Plan {
        let members = self.members.iter().filter(|m| m.contact.name != *node);
        let members = members.map(|member| &member.plan);
        Plan::sum(members.chain(self.aggregators.iter().map(|a| &a.plan)))
    }

    fn send_sums(
        &mut self,
        direct: &Loads,
        news: Vec<Item>,
        due: RoundDue,
        around: &Surroundings,
        learnt: &mut Learnt,
    ) {
        let now = around.now;
        let sender = self.sender(around.config_version);
        let changes = match due.sums {
            true => self
                .sum_teller
                .changes(direct, due.full, Self::detail(around)),
            false => Vec::new(),
        };
        let head = || news.iter().cloned().chain(config_item(around));
        let changed = match due.sums || due.news {
            true => pack(&sender, head().chain(sums(&changes))),
            false => Vec::new(),
        };
        let late = self.relays.of_late().chain(config_item(around));
        let whole = pack(&sender, late.chain(sums(direct)));
        let targets = self.targets(around);
        let is_wanted = |node: &NodeName| {
            let aggregator = self.aggregators.get(node);
            due.plan && aggregator.is_some_and(|aggregator| aggregator.plan_wanted)
        };
        let plan = targets.iter().any(|target| is_wanted(&target.name));
        let plan = plan.then(|| Plan::sum(self.members.iter().map(|member| &member.plan)));
        let plan = plan.map_or(Vec::new(), |plan| pack(&sender, plan.items()));
        let members = u16::try_from(self.members.iter().count()).unwrap_or(u16::MAX);
        let plan_wanted = self.members.iter().any(|member| member.plan_wanted);
        self.sums_sent.retain(|(_, at)| now < *at + SUMS_HAD);
        for target in targets {
            let known = self.aggregators.get(&target.name);
            let kind = Kind::Sum(SumHead {
                round: self.sum_round,
                members,
                plan_wanted,
                heard: known.map(|aggregator| aggregator.heard),
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
                learnt.outgoing.push(Outgoing { address, bytes });
            }
            match sent {
                Some(position) => self.sums_sent[position].1 = now,
                None => self.sums_sent.push((target.name.clone(), now)),
            }
            self.silence.asked(&target.name, now);
        }
    }

    /// Returns the aggregators that receive sums: the first ones of each data centre's ranking, and
    /// all others from which sums arrive.
    fn targets(&self, around: &Surroundings) -> Vec<Contact> {
        let now = around.now;
        let heard = self.aggregators.iter().filter(|a| a.members > 0);
        let mut targets: Vec<_> = heard.map(|a| a.contact.clone()).collect();
        for zone in zones(around.peers) {
            let mut first = 0;
            for node in ranking(around.peers, zone) {
                if first == AGGREGATORS {
                    break;
                }
                let silent = self.silence.is_silent(&node.name, now);
                first += usize::from(!silent);
                if !silent || self.silence.is_due_again(&node.name, now) {
                    targets.push(node.into());
                }
            }
        }
        targets.retain(|target| target.name != self.me.name);
        targets.sort_by(|a, b| a.name.cmp(&b.name));
        targets.dedup_by(|a, b| a.name == b.name);
        targets
    }

    /// Sends urgent events directly to nodes whose aggregators did not acknowledge them in time.
    pub(super) fn cover(&mut self, around: &Surroundings, learnt: &mut Learnt) {
        for (round, news) in self.relays.overdue(around.now) {
            self.cover_one(round, &news, around, learnt);
        }
    }

    fn cover_one(&self, round: u32, news: &News, around: &Surroundings, learnt: &mut Learnt) {
        let zone_of = |node: &NodeName| {
            let peer = around.peers.iter().find(|peer| peer.name == *node);
            peer.map(|peer| &peer.zone)
        };
        let others = self.aggregators.iter().filter(|a| a.members > 0);
        let others: Vec<_> = others
            .map(|aggregator| {
                let told = aggregator.has_round;
                let has = told.is_some_and(|told| told.wrapping_sub(round) < u32::MAX / 2);
                (zone_of(&aggregator.contact.name), has)
            })
            .collect();
        let is_covered = |peer: &PeerNode| {
            let mut of_zone = others.iter().filter(|(zone, _)| *zone == Some(&peer.zone));
            let first = of_zone.next();
            first.is_some_and(|(_, has)| *has) && of_zone.all(|(_, has)| *has)
        };
        let missed = around.peers.iter().filter(|peer| {
            peer.name != self.me.name && !self.members.has(&peer.name) && !is_covered(peer)
        });
        let missed: Vec<_> = missed.map(|peer| peer.gossip_address).collect();
        for bytes in self.direct(vec![Item::News(news.clone())], around) {
            learnt
                .outgoing
                .extend(missed.iter().map(|&address| Outgoing {
                    address,
                    bytes: bytes.clone(),
                }));
        }
    }
}

fn sums(loads: &Loads) -> impl Iterator<Item = Item> {
    loads.iter().map(|&(runner, load)| Item::Sum(runner, load))
}

fn config_item(around: &Surroundings) -> Option<Item> {
    let (node, version) = around.newest_config?;
    let newer = version > around.config_version;
    newer.then(|| Item::Config(node.clone(), version))
}
