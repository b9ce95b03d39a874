//! The urgent events that an aggregator forwards.

use {
    super::{Item, Urgency, UrgentEvent},
    std::time::Duration,
    tokio::time::Instant,
};

/// The number of rounds that repeat an event, since datagrams get lost.
const FORWARD_ROUNDS: u8 = 5;

/// The number of rounds by which an event precedes one of the next lower urgency.
const URGENCY_ROUNDS: u8 = 2;

/// The number of kept events beyond which further hints are dropped.
const EVENTS_MAX: usize = 1_024;

/// An event with the state of its forwarding.
#[derive(Debug)]
struct ForwardedEvent {
    event: UrgentEvent,
    /// Whether the event came from a node that reports here; events of other nodes are also
    /// forwarded by their own aggregators.
    is_from_reporting_node: bool,
    received_at: Instant,
    /// The first sum round that held the event, and when it was sent.
    first_round: Option<(u32, Instant)>,
    rounds_left: u8,
    /// Whether the acknowledgements of other aggregators were checked, or need no check.
    is_acknowledgement_checked: bool,
}

impl ForwardedEvent {
    /// Returns the order in which events share a round: urgent ones first, and of these new ones.
    fn rank(&self) -> (u8, Urgency) {
        let urgency = self.urgency();
        let rounds = FORWARD_ROUNDS - self.rounds_left;
        (rounds + urgency as u8 * URGENCY_ROUNDS, urgency)
    }

    fn urgency(&self) -> Urgency {
        self.event.event.urgency()
    }
}

/// The events to forward, in order.
#[derive(Debug, Default)]
pub(super) struct ForwardedEvents(Vec<ForwardedEvent>);

impl ForwardedEvents {
    /// Adds an event, unless it is a hint and there are too many events.
    pub(super) fn add(
        &mut self,
        urgent_event: UrgentEvent,
        is_from_reporting_node: bool,
        now: Instant,
    ) {
        if self.0.len() >= EVENTS_MAX && urgent_event.event.urgency() == Urgency::Hint {
            return;
        }
        self.0.push(ForwardedEvent {
            event: urgent_event,
            is_from_reporting_node,
            received_at: now,
            first_round: None,
            rounds_left: FORWARD_ROUNDS,
            is_acknowledgement_checked: !is_from_reporting_node,
        });
    }

    /// Returns whether an event was not forwarded yet.
    pub(super) fn has_unforwarded(&self) -> bool {
        self.0
            .iter()
            .any(|forwarded| forwarded.first_round.is_none())
    }

    /// Returns whether an event is still to be forwarded, or its acknowledgements to be checked.
    pub(super) fn has_pending(&self) -> bool {
        let mut all = self.0.iter();
        all.any(|forwarded| forwarded.rounds_left > 0 || !forwarded.is_acknowledgement_checked)
    }

    /// Returns the events of a round, at most `count_max`: those for the nodes that report here, and
    /// those for other aggregators.
    pub(super) fn next_round(
        &mut self,
        round: u32,
        count_max: usize,
        now: Instant,
    ) -> (Vec<Item>, Vec<Item>) {
        let left = self.0.iter_mut().filter(|event| event.rounds_left > 0);
        let mut due: Vec<_> = left.collect();
        due.sort_by_key(|event| event.rank());
        due.truncate(count_max);
        let (mut members, mut aggregators) = (Vec::new(), Vec::new());
        for forwarded in due {
            forwarded.rounds_left -= 1;
            forwarded.first_round.get_or_insert((round, now));
            if forwarded.is_from_reporting_node {
                aggregators.push(Item::News(forwarded.event.clone()));
            }
            members.push(Item::News(forwarded.event.clone()));
        }
        (members, aggregators)
    }

    /// Returns the most urgent recent events, at most `count_max` and of these the newest, for a node
    /// that is new to this aggregator.
    pub(super) fn recent_events(&self, count_max: usize) -> Vec<Item> {
        let mut recent: Vec<&ForwardedEvent> = self.0.iter().rev().collect();
        recent.sort_by_key(|forwarded| forwarded.urgency());
        recent.truncate(count_max);
        let events = recent.into_iter().map(|known| known.event.clone());
        events.map(Item::News).collect()
    }

    /// Returns the number of events of each kind, sorted by the kind's label.
    pub(super) fn counts(&self) -> Vec<(&'static str, usize)> {
        let mut counts: Vec<(&'static str, usize)> = Vec::new();
        for forwarded in &self.0 {
            let label = forwarded.event.event.label();
            match counts.binary_search_by_key(&label, |(known, _)| known) {
                Ok(position) => counts[position].1 += 1,
                Err(position) => counts.insert(position, (label, 1)),
            }
        }
        counts
    }

    /// Returns the events that other aggregators should have acknowledged, `timeout` after their
    /// first round, with that round: urgent ones first.
    pub(super) fn unacknowledged(
        &self,
        timeout: Duration,
        now: Instant,
    ) -> Vec<(u32, UrgentEvent)> {
        let unchecked = self
            .0
            .iter()
            .filter(|event| !event.is_acknowledgement_checked);
        let overdue = unchecked.filter_map(|forwarded| {
            let (round, sent_at) = forwarded.first_round?;
            (now >= sent_at + timeout).then_some((round, forwarded))
        });
        let mut overdue: Vec<_> = overdue.collect();
        overdue.sort_by_key(|(_, forwarded)| forwarded.urgency());
        let events = overdue.into_iter();
        events
            .map(|(round, forwarded)| (round, forwarded.event.clone()))
            .collect()
    }

    /// Records that an event needs no further check of its acknowledgements.
    pub(super) fn set_acknowledgement_checked(&mut self, event: &UrgentEvent) {
        let same = |known: &UrgentEvent| {
            (&known.origin, known.start, known.number) == (&event.origin, event.start, event.number)
        };
        for forwarded in &mut self.0 {
            forwarded.is_acknowledgement_checked |= same(&forwarded.event);
        }
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.0
            .retain(|forwarded| now < forwarded.received_at + forwarded.event.event.ttl());
    }
}
