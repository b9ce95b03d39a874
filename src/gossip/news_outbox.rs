//! This node's own urgent events until its aggregator acknowledges them.

use {
    super::{Event, Item, News, Sender},
    std::time::Duration,
    tokio::time::Instant,
};

/// How long to wait for the aggregator's acknowledgement before an event is broadcast.
const ACK: Duration = Duration::from_millis(150);

/// The number of times that an event without an acknowledgement is broadcast, since datagrams get
/// lost.
const DIRECT_ROUNDS: u8 = 3;

/// The interval between two broadcasts of an event.
const DIRECT_PAUSE: Duration = Duration::from_millis(50);

/// An event without an acknowledgement.
#[derive(Debug)]
struct Untold {
    news: News,
    /// The first report that held the event.
    round: Option<u32>,
    direct_at: Option<Instant>,
    direct_rounds: u8,
}

/// The events that no aggregator acknowledged, in order.
#[derive(Debug, Default)]
pub(super) struct NewsOutbox {
    untold: Vec<Untold>,
    last_number: u64,
}

impl NewsOutbox {
    /// Numbers an event, adds it and returns it.
    pub(super) fn add(&mut self, sender: &Sender, event: Event) -> News {
        self.last_number += 1;
        let news = News {
            origin: sender.node.clone(),
            start: sender.start,
            number: self.last_number,
            event,
        };
        self.untold.push(Untold {
            news: news.clone(),
            round: None,
            direct_at: None,
            direct_rounds: DIRECT_ROUNDS,
        });
        news
    }

    pub(super) fn is_empty(&self) -> bool {
        self.untold.is_empty()
    }

    /// Returns whether an event was in no report yet.
    pub(super) fn has_new(&self) -> bool {
        self.untold.iter().any(|untold| untold.round.is_none())
    }

    /// Returns all events for a report.
    pub(super) fn report(&mut self, round: u32, now: Instant) -> Vec<Item> {
        for untold in self.untold.iter_mut().filter(|u| u.round.is_none()) {
            untold.round = Some(round);
            untold.direct_at = Some(now + ACK);
        }
        let news = self.untold.iter().map(|untold| untold.news.clone());
        news.map(Item::News).collect()
    }

    /// Removes the events that were in an acknowledged report or an earlier one.
    pub(super) fn acknowledged(&mut self, round: u32) {
        let is_told = |told: u32| round.wrapping_sub(told) < u32::MAX / 2;
        self.untold
            .retain(|untold| untold.round.is_none_or(|told| !is_told(told)));
    }

    /// Returns the events whose broadcast is due; all of them if there is no aggregator.
    pub(super) fn direct(&mut self, has_aggregator: bool, now: Instant) -> Vec<Item> {
        let mut due = Vec::new();
        for untold in &mut self.untold {
            let at = untold.direct_at.filter(|_| has_aggregator);
            if at.map_or(!has_aggregator, |at| now >= at) {
                untold.direct_rounds -= 1;
                untold.direct_at = Some(now + DIRECT_PAUSE);
                due.push(Item::News(untold.news.clone()));
            }
        }
        self.untold.retain(|untold| untold.direct_rounds > 0);
        due
    }
}
