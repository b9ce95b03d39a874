//! The urgent events that an aggregator forwards.

use {
    super::{Item, News},
    std::time::Duration,
    tokio::time::Instant,
};

/// The number of rounds that repeat an event, since datagrams get lost.
const TOLD_ROUNDS: u8 = 5;

/// How long to wait for other aggregators' acknowledgements before an event is sent directly to
/// their nodes.
const ACK: Duration = Duration::from_millis(150);

/// How long an event is kept for nodes that begin to report to this aggregator.
const KEPT: Duration = Duration::from_secs(3);

/// An event with the state of its forwarding.
#[derive(Debug)]
struct Relayed {
    news: News,
    /// Whether the event came from a node that reports here; events of other nodes are also
    /// forwarded by their own aggregators.
    is_from_member: bool,
    heard_at: Instant,
    /// The first sum round that held the event.
    round: Option<u32>,
    rounds: u8,
    /// Whether the acknowledgements of other aggregators were checked, or need no check.
    is_covered: bool,
}

/// The events to forward, in order.
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

    /// Returns whether an event was not forwarded yet.
    pub(super) fn has_new(&self) -> bool {
        self.0.iter().any(|relayed| relayed.round.is_none())
    }

    /// Returns whether an event is still to be forwarded, or its acknowledgements to be checked.
    pub(super) fn is_busy(&self) -> bool {
        let mut all = self.0.iter();
        all.any(|relayed| relayed.rounds > 0 || !relayed.is_covered)
    }

    /// Returns the events of a round: those for the nodes that report here, and those for other
    /// aggregators.
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

    /// Returns all recent events, for a node that is new to this aggregator.
    pub(super) fn of_late(&self) -> impl Iterator<Item = Item> {
        let news = self.0.iter().map(|relayed| relayed.news.clone());
        news.map(Item::News)
    }

    /// Returns each event once when other aggregators should have acknowledged it, with its round.
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
