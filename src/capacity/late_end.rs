//! What it costs to send a request to a runner that can't end it in time.

use std::time::Duration;

/// The cost of an expected end after the deadline, relative to the time after it.
const LATE_END_COST_SHARE: f64 = 0.2;

/// Returns the cost of a runner that is expected to take `expected` for a request whose caller
/// waits for another `time_left`, in milliseconds.
///
/// Answers the load of long responses at slow runners, which run until the deadline and are then
/// cut: a runner that can end them is chosen, also if it begins later.
pub fn late_end_cost_ms(expected: Duration, time_left: Duration) -> f64 {
    let late = expected.saturating_sub(time_left);
    late.as_secs_f64() * 1_000.0 * LATE_END_COST_SHARE
}
