//! Adds up the moves of engines that may be started anew.

use crate::{load::MoveCounts, standin::engine::EngineRecord};

/// Adds up the moves of one engine over all its starts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MoveCounter {
    earlier_starts: MoveCounts,
    current_start: MoveCounts,
}

impl MoveCounter {
    /// Takes the newest record of the engine.
    ///
    /// Counts that fell belong to a new start: what the last start made after its last record is
    /// not known.
    pub fn add_record(&mut self, record: &EngineRecord) {
        let mut counts = MoveCounts::default();
        counts.add_record(record);
        if counts.total() < self.current_start.total()
            || counts.adapter_loads < self.current_start.adapter_loads
        {
            self.earlier_starts = self.total();
        }
        self.current_start = counts;
    }

    /// Returns the moves of all starts.
    pub fn total(&self) -> MoveCounts {
        self.earlier_starts + self.current_start
    }
}
