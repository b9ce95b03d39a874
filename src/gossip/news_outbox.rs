//! The node's own urgent news until its aggregator has it.

use {
    super::{Event, Item, News, Sender},
    std::time::Duration,
    tokio::time::Instant,
};

/// How long the aggregator may take to say that it has news.
const ACK: Duration = Duration::from_millis(150);

/// How often news is told to all nodes where no aggregator has it, since datagrams get lost.
const DIRECT_ROUNDS: u8 = 3;

/// The pause between these.
const DIRECT_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Untold {
    news: News,
    /// The report that told it first.
    round: Option<u32>,
    direct_at: Option<Instant>,
    direct_rounds: u8,
}

/// News that no aggregator is known to have, in order.
#[derive(Debug, Default)]
pub(super) struct NewsOutbox {
    untold: Vec<Untold>,
    last_number: u64,
}

impl NewsOutbox {
    /// Adds news, and returns it.
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

    /// Returns whether there is news that was in no report.
    pub(super) fn has_new(&self) -> bool {
        self.untold.iter().any(|untold| untold.round.is_none())
    }

    /// Returns all news for a report.
    pub(super) fn report(&mut self, round: u32, now: Instant) -> Vec<Item> {
        for untold in self.untold.iter_mut().filter(|u| u.round.is_none()) {
            untold.round = Some(round);
            untold.direct_at = Some(now + ACK);
        }
        let news = self.untold.iter().map(|untold| untold.news.clone());
        news.map(Item::News).collect()
    }

    /// Forgets what an aggregator has.
    pub(super) fn acknowledged(&mut self, round: u32) {
        let is_told = |told: u32| round.wrapping_sub(told) < u32::MAX / 2;
        self.untold
            .retain(|untold| untold.round.is_none_or(|told| !is_told(told)));
    }

    /// Returns the news that is to be told to all nodes now.
    ///
    /// Without an aggregator that is all of it.
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
