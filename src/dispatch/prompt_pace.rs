//! The prompts that a node sent to a runner of late.

use {std::time::Duration, tokio::time::Instant};

/// The span over which prompts are counted.
pub(super) const PACE: Duration = Duration::from_millis(250);

/// The span within which prompts count as sent at once.
const TOGETHER: Duration = Duration::from_millis(10);

/// The prompts that were sent within the span, the oldest first.
///
/// A runner reads prompts between the tokens of the streams that it runs, so that many prompts at
/// once make a pause in all of these.
#[derive(Debug, Default)]
pub(super) struct PromptPace {
    sent: Vec<(Instant, u64)>,
}

impl PromptPace {
    pub(super) fn send(&mut self, tokens: u64, now: Instant) {
        self.sent.retain(|(at, _)| now < *at + PACE);
        match self.sent.last_mut() {
            Some((at, sum)) if now < *at + TOGETHER => *sum += tokens,
            _ if tokens > 0 => self.sent.push((now, tokens)),
            _ => {}
        }
    }

    /// Returns the tokens that were sent within the span.
    pub(super) fn tokens(&self, now: Instant) -> u64 {
        let recent = self.sent.iter().filter(|(at, _)| now < *at + PACE);
        recent.map(|(_, tokens)| tokens).sum()
    }

    /// Returns when the next prompt leaves the span.
    pub(super) fn next(&self, now: Instant) -> Option<Instant> {
        let ends = self.sent.iter().map(|(at, _)| *at + PACE);
        ends.filter(|end| now < *end).min()
    }
}
