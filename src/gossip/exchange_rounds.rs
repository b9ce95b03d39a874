//! Rounds of a node in a large system: reports to its aggregator and urgent events.

use {
    super::{
        Event, Exchange, Item, Kind, Learnt, Outgoing, Plan, ReportHead, Surroundings,
        exchange::Choice, frame, pack,
    },
    crate::dispatch::{AggregatorReport, LoadSum, ModelDemand, PromptDetail, RunnerHash},
    std::time::Duration,
    tokio::time::Instant,
};

/// The interval between two rounds while urgent events are not yet acknowledged.
const NEWS_ROUND: Duration = Duration::from_millis(50);

/// The longest interval between two reports, unless the interval of rounds is longer.
const REPORT_MAX: Duration = Duration::from_millis(300);

/// The shortest interval between two reports with all demand and usage by variant.
const PLAN_MIN: Duration = Duration::from_millis(1_000);

impl Exchange {
    /// Runs the sends that are due and expires old state.
    pub fn tick(&mut self, own: &AggregatorReport, around: &Surroundings) -> Learnt {
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

    /// Returns when the next call of `tick` is due if nothing is received or published before.
    pub fn next_at(&self, now: Instant) -> Instant {
        let mut next = self.due.report;
        if self.is_aggregator() {
            next = next.min(self.due.digest);
            if self.more_wait {
                next = next.min(self.due.waiting);
            }
        }
        let busy = !self.outbox.is_empty() || (self.is_aggregator() && self.relays.is_busy());
        if busy {
            next = next.min(now + NEWS_ROUND);
        }
        next
    }

    fn note_own_news(&mut self, own: &AggregatorReport, around: &Surroundings) {
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

    /// Sends the load of this node to its aggregator, if a report is due.
    fn report(&mut self, own: &AggregatorReport, around: &Surroundings, learnt: &mut Learnt) {
        let now = around.now;
        let waiting = self.waiting_changes(own);
        let urgent = self.outbox.has_new() || !waiting.is_empty();
        if !urgent && now < self.due.report {
            return;
        }
        let round = Self::round(around.peers.len());
        self.due.report = now + round;
        let detail = Self::detail(around);
        let is_same = !self.loads_differ(&own.loads, detail) && self.outbox.is_empty();
        if !urgent && is_same && now < self.due.report_at_last {
            return;
        }
        self.due.report_at_last = now + round.max(REPORT_MAX);
        let has_plan = now >= self.due.plan;
        if has_plan {
            self.due.plan = now + (round * 4).max(PLAN_MIN);
        }
        self.told_demand.clone_from(&own.demand);
        let loads = own.loads.iter();
        self.told_loads = loads
            .map(|&(r, load)| (r, load.at_detail(detail)))
            .collect();
        self.report_round = self.report_round.wrapping_add(1);
        self.history
            .told(self.report_round, self.told_loads.clone());
        let mut items = self.outbox.report(self.report_round, now);
        let loads = self.told_loads.iter();
        items.extend(loads.map(|&(runner, load)| Item::Sum(runner, load)));
        if has_plan {
            let plan = Plan {
                demand: own.demand.clone(),
                uses: own.uses.clone(),
            };
            items.extend(plan.items());
        } else {
            items.extend(waiting.into_iter().map(Item::Demand));
        }
        self.send_report(items, has_plan, own.plan_wanted, around, learnt);
    }

    /// Returns the demand whose number of waiting requests differs from the last report.
    fn waiting_changes(&self, own: &AggregatorReport) -> Vec<ModelDemand> {
        let told = &self.told_demand;
        let changed = own.demand.iter().filter(|demand| {
            let found = told.binary_search_by(|known| known.key().cmp(&demand.key()));
            found.map_or(0, |position| told[position].waiting) != demand.waiting
        });
        changed.cloned().collect()
    }

    /// Returns how finely prompt load is reported at the present size of the system.
    pub(super) fn detail(around: &Surroundings) -> PromptDetail {
        PromptDetail::for_round_interval(Self::round(around.peers.len()))
    }

    fn loads_differ(&self, loads: &[(RunnerHash, LoadSum)], detail: PromptDetail) -> bool {
        let differs = |(now, told): (&(RunnerHash, LoadSum), &(RunnerHash, LoadSum))| {
            now.0 != told.0
                || now
                    .1
                    .at_detail(detail)
                    .differs_significantly(told.1, detail)
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
                    let bytes = frame(&sender, &Kind::Report(head(part, parts)), body);
                    let address = contact.address;
                    learnt.outgoing.push(Outgoing { address, bytes });
                }
                self.silence.asked(&contact.name, around.now);
            }
        }
    }

    /// Broadcasts the urgent events that no aggregator acknowledged.
    fn tell_directly(&mut self, around: &Surroundings, learnt: &mut Learnt) {
        let has_aggregator = self.choice != Choice::Nobody;
        let items = self.outbox.direct(has_aggregator, around.now);
        if !items.is_empty() {
            learnt.to_all.extend(self.direct(items, around));
        }
    }

    /// Encodes items into direct datagrams.
    pub(super) fn direct(&self, items: Vec<Item>, around: &Surroundings) -> Vec<Vec<u8>> {
        let sender = self.sender(around.config_version);
        let bodies = pack(&sender, items).into_iter();
        bodies
            .map(|body| frame(&sender, &Kind::Direct, &body))
            .collect()
    }
}
