//! The connections to a runner that a node probably still holds open.

use {std::time::Duration, tokio::time::Instant};

/// How long a connection is probably reused after a response: the shortest time that the pool keeps
/// it.
const REUSED_FOR: Duration = Duration::from_millis(500);

/// The most connections that are remembered for a runner.
const COUNT_MAX: usize = 16;

/// The ends of the times in which idle connections to a runner are reused, ascending.
#[derive(Debug, Default)]
pub(super) struct IdleConnections(Vec<Instant>);

impl IdleConnections {
    /// Records that a complete response left its connection idle.
    pub(super) fn record_returned(&mut self, now: Instant) {
        self.0.retain(|until| now < *until);
        if self.0.len() < COUNT_MAX {
            self.0.push(now + REUSED_FOR);
        }
    }

    /// Records that a request takes a connection: the one that was used last.
    pub(super) fn record_taken(&mut self) {
        self.0.pop();
    }

    /// Returns whether a connection is idle.
    pub(super) fn has_any(&self, now: Instant) -> bool {
        self.0.last().is_some_and(|until| now < *until)
    }
}
