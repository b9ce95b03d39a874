//! The place of a request that was sent to its runner.

use {
    crate::{
        discovery::RunnerEntry,
        dispatch::{Assignment, AttemptOutcome},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// The parts of a caller's patience after which a silent runner counts as broken.
const SILENT_PARTS: (u32, u32) = (3, 4);

/// A place in use; dropping it counts as cancelled, or as broken if the runner was silent.
///
/// Callers leave at about the time at which a runner that hangs would be found out.
#[derive(Debug)]
pub(super) struct SentPlace {
    pub(super) runner: Arc<RunnerEntry>,
    pub(super) priority: u8,
    place: Option<Assignment>,
    heard_at: Instant,
    silence_max: Duration,
}

impl SentPlace {
    /// Begins to listen for a runner's answer, for which its caller waits so long.
    pub(super) fn new(place: Assignment, patience: Duration) -> Self {
        Self {
            runner: place.runner.clone(),
            priority: place.priority,
            place: Some(place),
            heard_at: Instant::now(),
            silence_max: patience * SILENT_PARTS.0 / SILENT_PARTS.1,
        }
    }

    /// Notes that a part of the answer came, for the next of which the caller waits so long.
    pub(super) fn heard(&mut self, patience: Duration) {
        self.heard_at = Instant::now();
        self.silence_max = patience * SILENT_PARTS.0 / SILENT_PARTS.1;
        if let Some(place) = &mut self.place {
            place.record_first_event(self.heard_at);
        }
    }

    /// Gives the place back.
    pub(super) fn finish(mut self, outcome: AttemptOutcome) {
        if let Some(place) = self.place.take() {
            place.finish(outcome);
        }
    }
}

impl Drop for SentPlace {
    fn drop(&mut self) {
        let silent = self.heard_at.elapsed() >= self.silence_max;
        if let (true, Some(place)) = (silent, self.place.take()) {
            place.finish(AttemptOutcome::Broken);
        }
    }
}
