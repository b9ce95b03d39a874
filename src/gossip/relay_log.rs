//! The urgent news that an aggregator tells on.

use {
    super::{Item, News},
    std::time::Duration,
    tokio::time::Instant,
};

/// How often news is told on, since datagrams get lost.
const TOLD_ROUNDS: u8 = 5;

/// How long other aggregators may take to say that they have news.
const ACK: Duration = Duration::from_millis(150);

/// How long news is kept for nodes that come to this aggregator.
const KEPT: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Relayed {
    news: News,
    /// Whether it came from a node that reports here; otherwise others tell it on as well.
    is_from_member: bool,
    heard_at: Instant,
    /// The sum that told it first.
    round: Option<u32>,
    rounds: u8,
    is_covered: bool,
}

/// News that is told on, in order.
#[derive(Debug, Default)]
pub(super) struct RelayLog(Vec<Relayed>);

impl RelayLog {
    pub(super) fn add(&mut self, news: News, is_from_member: bool, now: Instant) {
        self.0.push(Relayed {
            news,
            is_from_member,
            heard_at: now,
            round: None,
            rounds: TOLD_ROUNDS,
            is_covered: !is_from_member,
        });
    }

    /// Returns whether there is news that was not told on.
    pub(super) fn has_new(&self) -> bool {
        self.0.iter().any(|relayed| relayed.round.is_none())
    }

    /// Returns whether there is news that is still to be told on or to be looked after.
    pub(super) fn is_busy(&self) -> bool {
        let mut all = self.0.iter();
        all.any(|relayed| relayed.rounds > 0 || !relayed.is_covered)
    }

    /// Returns the news of a round for the nodes that report here, and for other aggregators.
    pub(super) fn round(&mut self, round: u32) -> (Vec<Item>, Vec<Item>) {
        let (mut members, mut aggregators) = (Vec::new(), Vec::new());
        for relayed in self.0.iter_mut().filter(|relayed| relayed.rounds > 0) {
            relayed.rounds -= 1;
            relayed.round.get_or_insert(round);
            if relayed.is_from_member {
                aggregators.push(Item::News(relayed.news.clone()));
            }
            members.push(Item::News(relayed.news.clone()));
        }
        (members, aggregators)
    }

    /// Returns all news of late, for a node that came just now.
    pub(super) fn of_late(&self) -> impl Iterator<Item = Item> {
        let news = self.0.iter().map(|relayed| relayed.news.clone());
        news.map(Item::News)
    }

    /// Returns the news that other aggregators should have by now, each with its round, once.
    pub(super) fn overdue(&mut self, now: Instant) -> Vec<(u32, News)> {
        let mut overdue = Vec::new();
        for relayed in &mut self.0 {
            let Some(round) = relayed.round.filter(|_| !relayed.is_covered) else {
                continue;
            };
            if now >= relayed.heard_at + ACK {
                relayed.is_covered = true;
                overdue.push((round, relayed.news.clone()));
            }
        }
        overdue
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.0.retain(|relayed| now < relayed.heard_at + KEPT);
    }
}
