//! The pause after a plan.

use std::time::Duration;

/// The shortest pause between two plans.
const PAUSE_MIN: Duration = Duration::from_millis(5);

/// The longest pause between two plans.
const PAUSE_MAX: Duration = Duration::from_millis(1_000);

/// The pause relative to the time that the plan took: planning takes up a fifth of the time, and
/// the node serves callers and renews its lease in the rest.
const PAUSE_PER_PLAN_TIME: u32 = 4;

/// Returns the shortest pause after a plan that took `took`.
///
/// Answers waiting demand that changes faster than a large system can be planned.
pub fn plan_pause(took: Duration) -> Duration {
    (took * PAUSE_PER_PLAN_TIME).clamp(PAUSE_MIN, PAUSE_MAX)
}
