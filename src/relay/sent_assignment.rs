//! The assignment of a request that was sent to its runner.

use {
    crate::{
        discovery::RunnerEntry,
        dispatch::{Assignment, AttemptOutcome, SendCheck},
        units::RequestRate,
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// The fraction (numerator, denominator) of the caller's wait after which a runner that sends
/// nothing counts as broken.
const STALL_FRACTION: (u32, u32) = (3, 4);

/// An assignment in use; dropping it counts the attempt as cancelled, or as broken if the runner
/// sent nothing for too long.
///
/// Callers give up at about the time at which the timeout would detect a runner that hangs, so
/// their cancellations must count against it.
#[derive(Debug)]
pub(super) struct SentAssignment {
    pub(super) runner: Arc<RunnerEntry>,
    assignment: Option<Assignment>,
    last_progress_at: Instant,
    stall_timeout: Duration,
}

impl SentAssignment {
    /// Begins the wait for a runner's response, for which the caller waits `caller_wait`.
    pub(super) fn new(assignment: Assignment, caller_wait: Duration) -> Self {
        Self {
            runner: assignment.runner.clone(),
            assignment: Some(assignment),
            last_progress_at: Instant::now(),
            stall_timeout: caller_wait * STALL_FRACTION.0 / STALL_FRACTION.1,
        }
    }

    /// Records a part of the response; the caller waits `caller_wait` for the next one.
    pub(super) fn record_progress(&mut self, caller_wait: Duration) {
        self.last_progress_at = Instant::now();
        self.stall_timeout = caller_wait * STALL_FRACTION.0 / STALL_FRACTION.1;
        if let Some(assignment) = &mut self.assignment {
            assignment.record_event(self.last_progress_at);
        }
    }

    /// Records that the end of the connection is the end of the response.
    pub(super) fn mark_ends_with_connection(&mut self) {
        if let Some(assignment) = &mut self.assignment {
            assignment.mark_ends_with_connection();
        }
    }

    /// Records the limit on requests that the response names, or that it names none.
    pub(super) fn record_limit(&self, limit: Option<RequestRate>) {
        if let Some(assignment) = &self.assignment {
            assignment.record_limit(limit);
        }
    }

    /// Records the rejections a second that the runner says it bears.
    pub(super) fn record_brittleness(&self, rejections_per_s: Option<u32>) {
        if let Some(assignment) = &self.assignment {
            assignment.record_brittleness(rejections_per_s);
        }
    }

    /// Records that this node reached the runner.
    pub(super) fn record_contact(&self) {
        if let Some(assignment) = &self.assignment {
            assignment.record_contact();
        }
    }

    /// Records that the response says that the runner leaves.
    pub(super) fn record_leaving(&self) {
        if let Some(assignment) = &self.assignment {
            assignment.record_leaving();
        }
    }

    /// Records that the runner asked this node for a pause.
    pub(super) fn record_pause(&self, pause: Duration) {
        if let Some(assignment) = &self.assignment {
            assignment.record_pause(pause);
        }
    }

    /// Returns the check that is due right before the request is sent.
    pub(super) fn send_check(&self) -> Option<SendCheck> {
        self.assignment.as_ref().map(Assignment::send_check)
    }

    /// Returns whether the request must not be sent, as it has been quarantined since.
    pub(super) fn is_quarantined(&self) -> bool {
        let assignment = self.assignment.as_ref();
        assignment.is_some_and(Assignment::is_quarantined)
    }

    /// Ends the assignment with the outcome of the attempt.
    pub(super) fn finish(mut self, outcome: AttemptOutcome) {
        if let Some(assignment) = self.assignment.take() {
            assignment.finish(outcome);
        }
    }
}

impl Drop for SentAssignment {
    fn drop(&mut self) {
        let is_stalled = self.last_progress_at.elapsed() >= self.stall_timeout;
        if let (true, Some(assignment)) = (is_stalled, self.assignment.take()) {
            assignment.finish(AttemptOutcome::Broken);
        }
    }
}
