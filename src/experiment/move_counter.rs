//! Counts the moves of an engine across restarts.

use crate::{load::MoveCounts, standin::engine::EngineRecord};

/// Counts the moves of one engine across restarts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MoveCounter {
    earlier_starts: MoveCounts,
    current_start: MoveCounts,
}

impl MoveCounter {
    /// Applies the newest record of the engine.
    ///
    /// Lower counts than before mean that the engine restarted. Moves between the last record and
    /// the restart are lost.
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

    /// Returns the moves since the first start.
    pub fn total(&self) -> MoveCounts {
        self.earlier_starts + self.current_start
    }
}
