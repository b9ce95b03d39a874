//! This node's own urgent events until its aggregator acknowledges them.

use {
    super::{Event, Item, Sender, UrgentEvent},
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
    pub(super) fn add(&mut self, sender: &Sender, event: Event) -> UrgentEvent {
        self.last_number += 1;
        let urgent_event = UrgentEvent {
            origin: sender.node.clone(),
            start: sender.start,
            number: self.last_number,
            event,
        };
        self.events.push(UnacknowledgedEvent {
            event: urgent_event.clone(),
            first_report: None,
            broadcast_at: None,
            broadcasts_left: BROADCASTS_MAX,
        });
        urgent_event
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

    /// Returns the oldest events for a report; those without an acknowledgement after `timeout` are
    /// broadcast.
    pub(super) fn events_for_report(
        &mut self,
        round: u32,
        timeout: Duration,
        now: Instant,
    ) -> Vec<Item> {
        let oldest = self.events.iter_mut().take(EVENTS_PER_REPORT_MAX);
        let events = oldest.map(|pending| {
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

    /// Returns the oldest events whose broadcast is due, at most `count_max`; all events are due if
    /// there is no aggregator.
    pub(super) fn take_due_broadcasts(
        &mut self,
        has_aggregator: bool,
        count_max: usize,
        now: Instant,
    ) -> Vec<Item> {
        let mut due = Vec::new();
        for pending in &mut self.events {
            if due.len() == count_max {
                break;
            }
            let at = pending.broadcast_at.filter(|_| has_aggregator);
            if at.map_or(!has_aggregator, |at| now >= at) {
                pending.broadcasts_left -= 1;
                pending.broadcast_at = Some(now + BROADCAST_INTERVAL);
                due.push(Item::News(pending.event.clone()));
            }
        }
        self.events.retain(|pending| pending.broadcasts_left > 0);
        due
    }
}
