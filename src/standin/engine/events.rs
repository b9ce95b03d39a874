//! The cache events of a stand-in engine: late, and with gaps.

use {
    super::CacheUse,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// The events that are kept.
const EVENTS_MAX: usize = 1_024;

/// A change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number; a missing number is an event that was lost.
    pub sequence: u64,
    /// The hashes of blocks that were added.
    pub stored: Vec<u64>,
    /// The hashes of blocks that are gone.
    pub removed: Vec<u64>,
}

/// The cache events not yet forgotten.
#[derive(Debug, Default)]
pub struct EventLog {
    last: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    /// Adds the event of a cache use unless it changed nothing; a lost one leaves a gap.
    pub fn add(&mut self, change: CacheUse, lost: bool) {
        if change.stored.is_empty() && change.removed.is_empty() {
            return;
        }
        self.last += 1;
        if lost {
            return;
        }
        let event = CacheEvent {
            sequence: self.last,
            stored: change.stored,
            removed: change.removed,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }

    /// Returns the events after a number that are at least `lag` old.
    pub fn read(&self, after: u64, lag: Duration) -> Vec<CacheEvent> {
        let due = |entry: &&(Instant, CacheEvent)| entry.0.elapsed() >= lag;
        let events = self.events.iter().filter(due).map(|(_, event)| event);
        events
            .filter(|event| event.sequence > after)
            .cloned()
            .collect()
    }
}
