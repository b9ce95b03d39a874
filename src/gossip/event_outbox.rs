//! This node's own urgent events until its aggregator acknowledges them.

use {
    super::{Event, Item, Sender, Urgency, UrgentEvent},
    std::time::Duration,
    tokio::time::Instant,
};

/// The number of times that an event without an acknowledgement is broadcast, since datagrams get
/// lost.
const BROADCASTS_MAX: u8 = 3;

/// The interval between two broadcasts of an event.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(50);

/// The most events in a report. Later ones follow once the aggregator acknowledged these.
const EVENTS_PER_REPORT_MAX: usize = 24;

/// An event without an acknowledgement.
#[derive(Debug)]
struct UnacknowledgedEvent {
    event: UrgentEvent,
    added_at: Instant,
    /// The first report that held the event.
    first_report: Option<u32>,
    broadcast_at: Option<Instant>,
    broadcasts_left: u8,
}

/// The events that no aggregator acknowledged, in order.
#[derive(Debug, Default)]
pub(super) struct EventOutbox {
    events: Vec<UnacknowledgedEvent>,
    last_number: u64,
}

impl EventOutbox {
    /// Numbers an event, adds it and returns it.
    pub(super) fn add(&mut self, sender: &Sender, event: Event, now: Instant) -> UrgentEvent {
        self.last_number += 1;
        let urgent_event = UrgentEvent {
            origin: sender.node.clone(),
            start: sender.start,
            number: self.last_number,
            event,
        };
        self.events.push(UnacknowledgedEvent {
            event: urgent_event.clone(),
            added_at: now,
            first_report: None,
            broadcast_at: None,
            broadcasts_left: BROADCASTS_MAX,
        });
        urgent_event
    }

    /// Removes the hints that are too old to be of use.
    pub(super) fn expire(&mut self, now: Instant) {
        self.events.retain(|pending| {
            let event = &pending.event.event;
            event.urgency() != Urgency::Hint || now < pending.added_at + event.ttl()
        });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns whether an event was in no report yet.
    pub(super) fn has_unreported(&self) -> bool {
        self.events
            .iter()
            .any(|pending| pending.first_report.is_none())
    }

    /// Returns the most urgent events for a report, and of these the oldest; those without an
    /// acknowledgement after `timeout` are broadcast.
    pub(super) fn events_for_report(
        &mut self,
        round: u32,
        timeout: Duration,
        now: Instant,
    ) -> Vec<Item> {
        let mut first: Vec<_> = self.events.iter_mut().collect();
        first.sort_by_key(|pending| pending.event.event.urgency());
        let first = first.into_iter().take(EVENTS_PER_REPORT_MAX);
        let events = first.map(|pending| {
            if pending.first_report.is_none() {
                pending.first_report = Some(round);
                pending.broadcast_at = Some(now + timeout);
            }
            Item::News(pending.event.clone())
        });
        events.collect()
    }

    /// Removes the events that were in an acknowledged report or an earlier one.
    pub(super) fn acknowledge(&mut self, round: u32) {
        let is_acknowledged = |first_report: u32| round.wrapping_sub(first_report) < u32::MAX / 2;
        self.events.retain(|pending| {
            pending
                .first_report
                .is_none_or(|first_report| !is_acknowledged(first_report))
        });
    }

    /// Returns the most urgent events whose broadcast is due, and of these the oldest, at most
    /// `count_max`; all events are due if there is no aggregator.
    pub(super) fn take_due_broadcasts(
        &mut self,
        has_aggregator: bool,
        count_max: usize,
        now: Instant,
    ) -> Vec<Item> {
        let is_due = |pending: &&mut UnacknowledgedEvent| {
            let at = pending.broadcast_at.filter(|_| has_aggregator);
            at.map_or(!has_aggregator, |at| now >= at)
        };
        let mut due: Vec<_> = self.events.iter_mut().filter(is_due).collect();
        due.sort_by_key(|pending| pending.event.event.urgency());
        let due = due.into_iter().take(count_max).map(|pending| {
            pending.broadcasts_left -= 1;
            pending.broadcast_at = Some(now + BROADCAST_INTERVAL);
            Item::News(pending.event.clone())
        });
        let due = due.collect();
        self.events.retain(|pending| pending.broadcasts_left > 0);
        due
    }
}
