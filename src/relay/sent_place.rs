//! The assignment of a request that was sent to its runner.

use {
    crate::{
        discovery::RunnerEntry,
        dispatch::{Assignment, AttemptOutcome},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// The fraction (numerator, denominator) of the caller's wait after which a runner that sends
/// nothing counts as broken.
const SILENT_PARTS: (u32, u32) = (3, 4);

/// An assignment in use; dropping it counts the attempt as cancelled, or as broken if the runner
/// sent nothing for too long.
///
/// Callers give up at about the time at which the timeout would detect a runner that hangs, so
/// their cancellations must count against it.
#[derive(Debug)]
pub(super) struct SentPlace {
    pub(super) runner: Arc<RunnerEntry>,
    pub(super) priority: u8,
    place: Option<Assignment>,
    heard_at: Instant,
    silence_max: Duration,
}

impl SentPlace {
    /// Begins the wait for a runner's response, for which the caller waits `patience`.
    pub(super) fn new(place: Assignment, patience: Duration) -> Self {
        Self {
            runner: place.runner.clone(),
            priority: place.priority,
            place: Some(place),
            heard_at: Instant::now(),
            silence_max: patience * SILENT_PARTS.0 / SILENT_PARTS.1,
        }
    }

    /// Records a part of the response; the caller waits `patience` for the next one.
    pub(super) fn heard(&mut self, patience: Duration) {
        self.heard_at = Instant::now();
        self.silence_max = patience * SILENT_PARTS.0 / SILENT_PARTS.1;
        if let Some(place) = &mut self.place {
            place.record_first_event(self.heard_at);
        }
    }

    /// Ends the assignment with the outcome of the attempt.
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
