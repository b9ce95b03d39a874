//! Pacing of the prompts that a node sends to a runner.

use {
    super::draws::draws,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
    tokio::time::Instant,
};

/// The span after which a sent prompt hardly counts any more.
pub(super) const PACING_SPAN: Duration = Duration::from_millis(250);

/// The time constant with which a sent prompt decays.
pub(super) const PROMPT_DECAY: Duration = Duration::from_millis(125);

/// The recently sent prompt tokens, with exponential decay.
///
/// A runner processes prompts between the tokens of its streams, so many prompts at once delay
/// the next token of all streams. Prompts that counted in full until the end of a span would
/// stop counting at the same instant on all nodes, and these would send their next prompts
/// together.
#[derive(Debug, Default)]
pub(super) struct PromptPace {
    tokens: f64,
    counted_at: Option<Instant>,
}

impl PromptPace {
    /// Counts a prompt that is sent now.
    pub(super) fn record_sent(&mut self, tokens: u64, now: Instant) {
        self.tokens = self.decayed_tokens(now) + tokens as f64;
        self.counted_at = Some(now);
    }

    /// Returns the recently sent tokens after decay.
    pub(super) fn tokens(&self, now: Instant) -> u64 {
        self.decayed_tokens(now) as u64
    }

    fn decayed_tokens(&self, now: Instant) -> f64 {
        let Some(counted_at) = self.counted_at else {
            return 0.0;
        };
        decayed(self.tokens, now.saturating_duration_since(counted_at))
    }
}

/// How long a drawn share stays the same.
const DRAW_INTERVAL: Duration = Duration::from_millis(30);

/// A random share that is redrawn at fixed intervals, however often it is read.
#[derive(Debug)]
pub(super) struct RandomShare {
    seed: u64,
    since: Instant,
}

impl RandomShare {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            seed: draws().random(),
            since: now,
        }
    }

    /// Returns the share of the interval that contains `now`, from 0 to 1.
    pub(super) fn value(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.since);
        let interval = (age.as_millis() / DRAW_INTERVAL.as_millis()) as u64;
        let mut rng = SmallRng::seed_from_u64(self.seed ^ interval);
        rng.random_range(0.0..1.0)
    }
}

/// Returns the part of the tokens that still counts after `age`.
pub(super) fn decayed(tokens: f64, age: Duration) -> f64 {
    tokens * (-age.as_secs_f64() / PROMPT_DECAY.as_secs_f64()).exp()
}
