//! Rounds of a node in a large system: reports to its aggregator and urgent events.

use {
    super::{
        AggregationContext, AggregationOutput, AggregationProtocol, DatagramKind, DatagramPurpose,
        Event, Item, Outgoing, PlanningData, ReportHead, aggregation::AggregatorChoice,
        encode_bodies, encode_datagram,
    },
    crate::dispatch::{AggregatorReport, LoadSum, ModelDemand, PromptDetail, RunnerHash},
    std::time::Duration,
    tokio::time::Instant,
};

/// The interval between two rounds while urgent events are not yet acknowledged.
const PENDING_EVENTS_INTERVAL: Duration = Duration::from_millis(50);

/// The shortest delay of a round that holds new events.
const EVENT_ROUND_INTERVAL_MIN: Duration = Duration::from_millis(10);

/// The usual size of an urgent event in a datagram of its own, in bytes.
const EVENT_BYTES: usize = 150;

/// The longest interval between two reports, unless the interval of rounds is longer.
const REPORT_INTERVAL_MAX: Duration = Duration::from_millis(300);

/// The delay of the next round from which a round is logged.
const ROUND_DELAY_LOGGED: Duration = Duration::from_secs(1);

/// The shortest interval between two reports with all demand and usage by variant.
const PLANNING_DATA_INTERVAL_MIN: Duration = Duration::from_millis(1_000);

impl AggregationProtocol {
    /// Runs the sends that are due and expires old state.
    pub fn tick(
        &mut self,
        own: &AggregatorReport,
        context: &AggregationContext,
    ) -> AggregationOutput {
        let now = context.now;
        let mut output = AggregationOutput::default();
        self.reporting_nodes.expire(now);
        let kept = Self::sums_ttl(context.peers.len());
        self.aggregators.expire(kept, now);
        self.failure_detector.expire(now);
        self.seen_events.expire(now);
        self.forwarded_events.expire(now);
        self.event_outbox.expire(now);
        self.choose_aggregator(context, &mut output.outgoing);
        self.publish_own_events(own, context);
        self.send_report_if_due(own, context, &mut output);
        self.broadcast_unacknowledged(context, &mut output);
        if self.is_aggregator() {
            self.send_digests_and_sums(own, context, &mut output);
            self.send_unacknowledged_events(context, &mut output);
        }
        if context.is_large {
            self.digest_watch.check(now);
        }
        let sizes = output.datagram_sizes(context.peers.len());
        self.budget.spend(sizes, now);
        self.log_long_round(&output, context);
        output
    }

    /// Logs a round so large that the next ones are long delayed.
    fn log_long_round(&self, output: &AggregationOutput, context: &AggregationContext) {
        let delay = self.send_delay(context.now);
        if delay >= ROUND_DELAY_LOGGED
            && !(output.outgoing.is_empty() && output.broadcast.is_empty())
        {
            let bytes: usize = output.datagram_sizes(context.peers.len()).sum();
            log::warn!(
                bytes = bytes,
                delay_ms = delay.as_millis() as u64;
                "gossip: a round delays the next ones."
            );
        }
    }

    /// Returns how long the next round waits for what was sent so far.
    pub fn send_delay(&self, now: Instant) -> Duration {
        self.budget.free_at().saturating_duration_since(now)
    }

    /// Returns the time since the state of other nodes last arrived.
    pub fn digest_age(&self, now: Instant) -> Duration {
        self.digest_watch.age(now)
    }

    /// Returns how often the node has chosen another aggregator.
    pub fn aggregator_changes(&self) -> u64 {
        self.aggregator_changes
    }

    /// Returns the number of events that are kept to be forwarded, with the label of their kind.
    pub fn event_counts(&self) -> Vec<(&'static str, usize)> {
        self.forwarded_events.counts()
    }

    /// Returns when the next call of `tick` is due if nothing is received or published before.
    pub fn next_due_at(&self, now: Instant) -> Instant {
        let free_at = self.budget.free_at();
        let mut next = match self.choice {
            AggregatorChoice::ThisNode => self.due.report,
            _ => self.due.report.max(free_at),
        };
        if self.is_aggregator() {
            next = next.min(self.due.digest.max(free_at));
            if self.more_requests_wait {
                next = next.min(self.due.urgent_planning_data.max(free_at));
            }
            if self.forwarded_events.has_unforwarded() {
                next = next.min(free_at.max(now + EVENT_ROUND_INTERVAL_MIN));
            }
        }
        let busy = !self.event_outbox.is_empty()
            || (self.is_aggregator() && self.forwarded_events.has_pending());
        if busy {
            next = next.min(now + PENDING_EVENTS_INTERVAL);
        }
        next
    }

    fn publish_own_events(&mut self, own: &AggregatorReport, context: &AggregationContext) {
        let (version, now) = (context.config_version, context.now);
        for key in &own.leaving {
            self.publish(Event::Leaving(key.clone()), version, now);
        }
        for key in &own.stated_leaving {
            self.publish(Event::StatedLeaving(key.clone()), version, now);
        }
        for key in &own.unreachable {
            self.publish(Event::Unreachable(key.clone()), version, now);
        }
        for message in &own.quarantine {
            self.publish(Event::Quarantine(message.clone()), version, now);
        }
        for report in &own.changed_limits {
            self.publish(Event::Limit(report.clone()), version, now);
        }
        if version > self.published_config {
            self.published_config = version;
            self.publish(Event::Config(version), version, now);
        }
    }

    /// Sends the load of this node to its aggregator, if a report is due.
    fn send_report_if_due(
        &mut self,
        own: &AggregatorReport,
        context: &AggregationContext,
        output: &mut AggregationOutput,
    ) {
        let now = context.now;
        // Urgent reports wait too: the events of a busy leader would fill a narrow link.
        if !self.may_report(now) {
            return;
        }
        let waiting = self.changed_waiting_demand(own);
        let urgent = self.event_outbox.has_unreported() || !waiting.is_empty();
        if !urgent && now < self.due.report {
            return;
        }
        let round = Self::round_interval(context.peers.len());
        self.due.report = now + round;
        let detail = Self::prompt_detail(context);
        let is_same = !self.loads_changed(&own.loads, detail) && self.event_outbox.is_empty();
        if !urgent && is_same && now < self.due.report_latest {
            return;
        }
        self.due.report_latest = now + round.max(REPORT_INTERVAL_MAX);
        let has_plan = now >= self.due.planning_data;
        if has_plan {
            self.due.planning_data = now + (round * 4).max(PLANNING_DATA_INTERVAL_MIN);
        }
        self.reported_demand.clone_from(&own.demand);
        let loads = own.loads.iter();
        self.reported_loads = loads
            .map(|&(r, load)| (r, load.at_detail(detail)))
            .collect();
        self.report_round = self.report_round.wrapping_add(1);
        self.report_history
            .record(self.report_round, self.reported_loads.clone());
        let mut items = self.event_outbox.events_for_report(
            self.report_round,
            Self::ack_timeout(context.peers.len()),
            now,
        );
        let loads = self.reported_loads.iter();
        items.extend(loads.map(|&(runner, load)| Item::Sum(runner, load)));
        if has_plan {
            let planning = PlanningData {
                demand: own.demand.clone(),
                uses: own.uses.clone(),
            };
            items.extend(planning.items());
        } else {
            items.extend(waiting.into_iter().map(Item::Demand));
        }
        self.send_report(items, has_plan, own.plan_wanted, context, output);
    }

    /// Returns whether the budget allows a report; one to this node itself costs nothing.
    fn may_report(&self, now: Instant) -> bool {
        self.choice == AggregatorChoice::ThisNode || self.budget.is_free(now)
    }

    /// Returns the demand whose number of waiting requests differs from the last report.
    fn changed_waiting_demand(&self, own: &AggregatorReport) -> Vec<ModelDemand> {
        let reported = &self.reported_demand;
        let changed = own.demand.iter().filter(|demand| {
            let found = reported.binary_search_by(|known| known.key().cmp(&demand.key()));
            found.map_or(0, |position| reported[position].waiting) != demand.waiting
        });
        changed.cloned().collect()
    }

    /// Returns how finely prompt load is reported at the present size of the system.
    pub(super) fn prompt_detail(context: &AggregationContext) -> PromptDetail {
        PromptDetail::for_round_interval(Self::round_interval(context.peers.len()))
    }

    fn loads_changed(&self, loads: &[(RunnerHash, LoadSum)], detail: PromptDetail) -> bool {
        let differs = |(now, reported): (&(RunnerHash, LoadSum), &(RunnerHash, LoadSum))| {
            now.0 != reported.0
                || now
                    .1
                    .at_detail(detail)
                    .differs_significantly(reported.1, detail)
        };
        loads.len() != self.reported_loads.len()
            || loads.iter().zip(&self.reported_loads).any(differs)
    }

    fn send_report(
        &mut self,
        items: Vec<Item>,
        has_plan: bool,
        plan_wanted: bool,
        context: &AggregationContext,
        output: &mut AggregationOutput,
    ) {
        let sender = self.sender(context.config_version);
        let head = |part, parts| ReportHead {
            round: self.report_round,
            part,
            parts,
            has_plan,
            plan_wanted,
        };
        match &self.choice {
            AggregatorChoice::Unavailable => {}
            AggregatorChoice::ThisNode => {
                let address = self.own_node.gossip_address;
                let head = head(0, 1);
                for item in &items {
                    if let Item::News(urgent_event) = item {
                        self.forwarded_events
                            .add(urgent_event.clone(), true, context.now);
                    }
                }
                let effect =
                    self.reporting_nodes
                        .apply_report(&sender, address, head, items, context.now);
                self.more_requests_wait |= effect.more_requests_wait;
                self.event_outbox.acknowledge(self.report_round);
            }
            AggregatorChoice::OtherNode(peer) => {
                let bodies = encode_bodies(&sender, items);
                let parts = u8::try_from(bodies.len()).unwrap_or(u8::MAX);
                for (part, body) in bodies.iter().enumerate() {
                    let part = u8::try_from(part).unwrap_or(u8::MAX);
                    let bytes =
                        encode_datagram(&sender, &DatagramKind::Report(head(part, parts)), body);
                    let address = peer.address;
                    output.outgoing.push(Outgoing {
                        address,
                        purpose: DatagramPurpose::Report,
                        bytes,
                    });
                }
                self.failure_detector
                    .record_request(&peer.name, context.now);
            }
        }
    }

    /// Broadcasts the urgent events that no aggregator acknowledged.
    fn broadcast_unacknowledged(
        &mut self,
        context: &AggregationContext,
        output: &mut AggregationOutput,
    ) {
        if !self.budget.is_free(context.now) {
            return;
        }
        let has_aggregator = self.choice != AggregatorChoice::Unavailable;
        let event_bytes = EVENT_BYTES * context.peers.len().max(1);
        let count_max = (self.budget.round_bytes() / event_bytes).max(1);
        let items = self
            .event_outbox
            .take_due_broadcasts(has_aggregator, count_max, context.now);
        if !items.is_empty() {
            output.broadcast.extend(self.encode_direct(items, context));
        }
    }

    /// Encodes items into direct datagrams.
    pub(super) fn encode_direct(
        &self,
        items: Vec<Item>,
        context: &AggregationContext,
    ) -> Vec<Vec<u8>> {
        let sender = self.sender(context.config_version);
        let bodies = encode_bodies(&sender, items).into_iter();
        bodies
            .map(|body| encode_datagram(&sender, &DatagramKind::Direct, &body))
            .collect()
    }
}
