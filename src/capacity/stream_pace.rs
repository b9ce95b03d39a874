//! The usual time between two events of one stream.

use {std::time::Duration, tokio::time::Instant};

/// The shortest gap that is counted: events that were read together tell nothing of the runner.
const GAP_MIN: Duration = Duration::from_millis(2);

/// The gaps between the events of one stream, by two.
///
/// The shorter of two gaps leaves out most pauses while the runner reads prompts, which depend on
/// the load and not on the runner.
#[derive(Debug, Default)]
pub struct StreamPace {
    last_event_at: Option<Instant>,
    first_gap: Option<Duration>,
}

impl StreamPace {
    /// Records an event; returns the shorter one of each two gaps.
    pub fn record_event(&mut self, at: Instant) -> Option<Duration> {
        let last = self.last_event_at.replace(at)?;
        let gap = at.saturating_duration_since(last);
        if gap < GAP_MIN {
            return None;
        }
        match self.first_gap.take() {
            Some(first) => Some(first.min(gap)),
            None => {
                self.first_gap = Some(gap);
                None
            }
        }
    }
}
