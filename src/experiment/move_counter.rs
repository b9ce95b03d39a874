//! Adds up the moves of engines that may be started anew.

use crate::{load::MoveCounts, standin::engine::EngineRecord};

/// Adds up the moves of one engine over all its starts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MovesMeter {
    before: MoveCounts,
    now: MoveCounts,
}

impl MovesMeter {
    /// Takes the newest record of the engine.
    ///
    /// Counts that fell belong to a new start: what the last start made after its last record is
    /// not known.
    pub fn take(&mut self, record: &EngineRecord) {
        let mut counts = MoveCounts::default();
        counts.add_record(record);
        if counts.total() < self.now.total() || counts.adapter_loads < self.now.adapter_loads {
            self.before = self.total();
        }
        self.now = counts;
    }

    /// Returns the moves of all starts.
    pub fn total(&self) -> MoveCounts {
        self.before + self.now
    }
}
