//! The rounds of a node in a large system.

use {
    super::{
        Contact, DigestHead, Event, Exchange, Heard, Item, Kind, Learnt, News, Outgoing, Plan,
        ReportHead, SumHead, Surroundings, add_up, exchange::Choice, pack, ranking, seal, zones,
    },
    crate::{
        dispatch::{LoadSum, OwnReport, RunnerHash},
        leader::PeerNode,
        traffic::NodeName,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// The time between two rounds while news is under way.
const NEWS_ROUND: Duration = Duration::from_millis(50);

/// The longest time between two reports, unless rounds take longer.
const REPORT_MAX: Duration = Duration::from_millis(500);

/// The shortest time between two tellings of demand and loads by variant.
const PLAN_MIN: Duration = Duration::from_millis(500);

/// The time between two tellings of these to nodes that plan.
const PLANNERS: Duration = Duration::from_millis(700);

/// The aggregators of a data centre that others tell.
const AGGREGATORS: usize = 2;

/// How long a node that was sent sums is taken to have them.
const SUMS_HAD: Duration = Duration::from_secs(2);

type Loads = Vec<(RunnerHash, LoadSum)>;

impl Exchange {
    /// Does what is due now.
    pub fn tick(&mut self, own: &OwnReport, around: &Surroundings) -> Learnt {
        let now = around.now;
        let mut learnt = Learnt::default();
        self.members.expire(now);
        let kept = Self::sums_kept(around.peers.len());
        self.aggregators.expire(kept, now);
        self.silence.expire(now);
        self.log.expire(now);
        self.relays.expire(now);
        self.choose(around, &mut learnt.outgoing);
        self.note_own_news(own, around);
        self.report(own, around, &mut learnt);
        self.tell_directly(around, &mut learnt);
        if self.is_aggregator() {
            self.digest(own, around, &mut learnt);
            self.cover(around, &mut learnt);
        }
        learnt
    }

    /// Returns when something is due without any news.
    pub fn next_at(&self, now: Instant) -> Instant {
        let mut next = self.due.report;
        if self.is_aggregator() {
            next = next.min(self.due.digest);
        }
        let busy = !self.outbox.is_empty() || (self.is_aggregator() && self.relays.is_busy());
        if busy {
            next = next.min(now + NEWS_ROUND);
        }
        next
    }

    fn note_own_news(&mut self, own: &OwnReport, around: &Surroundings) {
        let (version, now) = (around.config_version, around.now);
        for key in &own.leaving {
            self.tell(Event::Leaving(key.clone()), version, now);
        }
        for key in &own.unreachable {
            self.tell(Event::Unreachable(key.clone()), version, now);
        }
        if version > self.told_config {
            self.told_config = version;
            self.tell(Event::Config(version), version, now);
        }
    }

    /// Tells the aggregator all of the own node.
    fn report(&mut self, own: &OwnReport, around: &Surroundings, learnt: &mut Learnt) {
        let now = around.now;
        let waiting = own.demand.iter().map(|d| u64::from(d.waiting)).sum();
        let urgent = self.outbox.has_new() || waiting != self.told_waiting;
        if !urgent && now < self.due.report {
            return;
        }
        let round = Self::round(around.peers.len());
        self.due.report = now + round;
        let is_same = !self.loads_differ(&own.loads) && self.outbox.is_empty();
        if !urgent && is_same && now < self.due.report_at_last {
            return;
        }
        self.due.report_at_last = now + round.max(REPORT_MAX);
        let has_plan = now >= self.due.plan || waiting != self.told_waiting;
        if has_plan {
            self.due.plan = now + (round * 4).max(PLAN_MIN);
        }
        self.told_waiting = waiting;
        self.told_loads.clone_from(&own.loads);
        self.report_round = self.report_round.wrapping_add(1);
        self.history.told(self.report_round, own.loads.clone());
        let mut items = self.outbox.report(self.report_round, now);
        let loads = own.loads.iter();
        items.extend(loads.map(|&(runner, load)| Item::Sum(runner, load)));
        if has_plan {
            let plan = Plan {
                demand: own.demand.clone(),
                uses: own.uses.clone(),
            };
            items.extend(plan.items());
        }
        self.send_report(items, has_plan, own.plan_wanted, around, learnt);
    }

    fn loads_differ(&self, loads: &Loads) -> bool {
        let differs = |(now, told): (&(RunnerHash, LoadSum), &(RunnerHash, LoadSum))| {
            now.0 != told.0 || now.1.differs_from(told.1)
        };
        loads.len() != self.told_loads.len() || loads.iter().zip(&self.told_loads).any(differs)
    }

    fn send_report(
        &mut self,
        items: Vec<Item>,
        has_plan: bool,
        plan_wanted: bool,
        around: &Surroundings,
        learnt: &mut Learnt,
    ) {
        let sender = self.sender(around.config_version);
        let head = |part, parts| ReportHead {
            round: self.report_round,
            part,
            parts,
            has_plan,
            plan_wanted,
        };
        match &self.choice {
            Choice::Nobody => {}
            Choice::Own => {
                let address = self.me.gossip_address;
                let head = head(0, 1);
                for item in &items {
                    if let Item::News(news) = item {
                        self.relays.add(news.clone(), true, around.now);
                    }
                }
                let reported = self.members.hear(&sender, address, head, items, around.now);
                self.more_wait |= reported.more_wait;
                self.outbox.acknowledged(self.report_round);
            }
            Choice::Other(contact) => {
                let bodies = pack(&sender, items);
                let parts = u8::try_from(bodies.len()).unwrap_or(u8::MAX);
                for (part, body) in bodies.iter().enumerate() {
                    let part = u8::try_from(part).unwrap_or(u8::MAX);
                    let bytes = seal(&sender, &Kind::Report(head(part, parts)), body);
                    let address = contact.address;
                    learnt.outgoing.push(Outgoing { address, bytes });
                }
                self.silence.asked(&contact.name, around.now);
            }
        }
    }

    /// Tells all nodes the news that no aggregator took.
    fn tell_directly(&mut self, around: &Surroundings, learnt: &mut Learnt) {
        let has_aggregator = self.choice != Choice::Nobody;
        let items = self.outbox.direct(has_aggregator, around.now);
        if !items.is_empty() {
            self.send_direct(items, around.addresses.iter().copied(), around, learnt);
        }
    }

    fn send_direct(
        &self,
        items: Vec<Item>,
        addresses: impl Iterator<Item = SocketAddr>,
        around: &Surroundings,
        learnt: &mut Learnt,
    ) {
        let sender = self.sender(around.config_version);
        let bodies = pack(&sender, items).into_iter();
        let datagrams: Vec<_> = bodies.map(|b| seal(&sender, &Kind::Direct, &b)).collect();
        for address in addresses {
            let bytes = datagrams.iter().cloned();
            let outgoing = bytes.map(|bytes| Outgoing { address, bytes });
            learnt.outgoing.extend(outgoing);
        }
    }

    /// Tells the nodes that report here of all, and other aggregators of these nodes.
    fn digest(&mut self, own: &OwnReport, around: &Surroundings, learnt: &mut Learnt) {
        let now = around.now;
        let urgent = self.relays.has_new() || self.more_wait;
        if !urgent && now < self.due.digest {
            return;
        }
        let peers = around.peers.len();
        self.due.digest = now + Self::round(peers);
        let full = now >= self.due.full;
        if full {
            self.due.full = now + Self::full_round(peers);
        }
        let plan_due = now >= self.due.planners || self.more_wait;
        if plan_due {
            self.due.planners = now + PLANNERS;
        }
        self.more_wait = false;
        self.sum_round = self.sum_round.wrapping_add(1);
        let (for_members, for_aggregators) = self.relays.round(self.sum_round);
        let direct = add_up(self.members.loads());
        let total = add_up(direct.iter().copied().chain(self.aggregators.loads()));
        self.digest_members(&total, for_members, (full, plan_due), around, learnt);
        if self.choice == Choice::Own {
            self.digest_own(own, &total, plan_due, around, learnt);
        }
        self.send_sums(&direct, for_aggregators, (full, plan_due), around, learnt);
    }

    fn digest_members(
        &mut self,
        total: &Loads,
        news: Vec<Item>,
        (full, plan_due): (bool, bool),
        around: &Surroundings,
        learnt: &mut Learnt,
    ) {
        let sender = self.sender(around.config_version);
        let config = config_item(around);
        let changes = self.digest_teller.changes(total, full);
        let news = if full {
            self.relays.of_late().collect()
        } else {
            news
        };
        let head: Vec<_> = news.into_iter().chain(config.clone()).collect();
        let changed = pack(&sender, head.iter().cloned().chain(sums(&changes)));
        let late = self.relays.of_late().chain(config);
        let whole = pack(&sender, late.chain(sums(total)));
        let planners = self.members.iter().filter(|m| m.plan_wanted && plan_due);
        let planners: Vec<_> = planners.map(|m| m.contact.name.clone()).collect();
        let plans: Vec<_> = planners.iter().map(|node| self.plan_but_of(node)).collect();
        for member in self.members.iter_mut() {
            if member.contact.name == self.me.name {
                continue;
            }
            let is_new = member.full_rounds > 0;
            member.full_rounds = member.full_rounds.saturating_sub(1);
            let kind = Kind::Digest(DigestHead {
                full: full || is_new,
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
                let bytes = seal(&sender, &kind, body);
                learnt.outgoing.push(Outgoing { address, bytes });
            }
        }
    }

    /// Takes the sums over at the own node.
    fn digest_own(
        &mut self,
        own: &OwnReport,
        total: &Loads,
        plan_due: bool,
        around: &Surroundings,
        learnt: &mut Learnt,
    ) {
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
        if own.plan_wanted && plan_due {
            learnt.plan = self.plan_but_of(&self.me.name);
        }
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
        (full, plan_due): (bool, bool),
        around: &Surroundings,
        learnt: &mut Learnt,
    ) {
        let now = around.now;
        let sender = self.sender(around.config_version);
        let changes = self.sum_teller.changes(direct, full);
        let head = || news.iter().cloned().chain(config_item(around));
        let changed = pack(&sender, head().chain(sums(&changes)));
        let whole = pack(&sender, head().chain(sums(direct)));
        let targets = self.targets(around);
        let is_wanted = |node: &NodeName| {
            let aggregator = self.aggregators.get(node);
            plan_due && aggregator.is_some_and(|aggregator| aggregator.plan_wanted)
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
            let plan = plan.iter().filter(|_| is_wanted(&target.name));
            for body in bodies.iter().chain(plan) {
                let address = target.address;
                let bytes = seal(&sender, &kind, body);
                learnt.outgoing.push(Outgoing { address, bytes });
            }
            match sent {
                Some(position) => self.sums_sent[position].1 = now,
                None => self.sums_sent.push((target.name.clone(), now)),
            }
            self.silence.asked(&target.name, now);
        }
    }

    /// Returns the other aggregators: the first of each data centre, and those that are heard.
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

    /// Tells the nodes directly that no other aggregator has told by now.
    fn cover(&mut self, around: &Surroundings, learnt: &mut Learnt) {
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
        let missed = missed.map(|peer| peer.gossip_address);
        self.send_direct(vec![Item::News(news.clone())], missed, around, learnt);
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
