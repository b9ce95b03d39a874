//! A request's place at a runner.

use {
    super::{RequestLoad, TryOutcome, board_shared::BoardShared},
    crate::{discovery::RunnerEntry, traffic::ServiceId},
    std::sync::Arc,
    tokio::time::Instant,
};

/// A request's place at a runner; dropping it counts the request as cancelled.
#[derive(Debug)]
pub struct Place {
    /// The runner.
    pub runner: Arc<RunnerEntry>,
    /// The rank to tell the runner, from 0, the first, to 9.
    pub priority: u8,
    pub(super) service: ServiceId,
    pub(super) load: RequestLoad,
    pub(super) output_tokens: u64,
    pub(super) started_at: Instant,
    pub(super) first_event_at: Option<Instant>,
    pub(super) outcome: Option<TryOutcome>,
    pub(super) board: Arc<BoardShared>,
}

impl Place {
    /// Notes that the first part of the answer came.
    pub fn first_event(&mut self, at: Instant) {
        if self.first_event_at.is_none() {
            self.first_event_at = Some(at);
            if self.load.variant.is_some() {
                let board = self.board.clone();
                board.first_event(self, at);
            }
        }
    }

    /// Notes how the try ended, and gives the place back.
    pub fn finish(mut self, outcome: TryOutcome) {
        self.outcome = Some(outcome);
    }

    /// Returns how long a complete answer took: by token where tokens are made, else in whole.
    pub(super) fn time(&self, now: Instant) -> Option<f64> {
        if self.outcome != Some(TryOutcome::Complete) {
            return None;
        }
        if self.load.variant.is_none() {
            return Some((now - self.started_at).as_secs_f64());
        }
        let first = self.first_event_at?;
        let tokens = self.output_tokens.max(1) as f64;
        Some(now.saturating_duration_since(first).as_secs_f64() / tokens)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let board = self.board.clone();
        board.release(self, Instant::now());
    }
}
