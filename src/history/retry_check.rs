//! Judges how often a service got further tries, over all nodes together.

use thiserror::Error;

/// The bound on further tries in any span.
#[derive(Debug, Clone, Copy)]
pub struct RetryBound {
    /// Further tries for each request.
    pub ratio: f64,
    /// Further tries whatever the requests are.
    pub slack: f64,
    /// The length of the span, in milliseconds.
    pub window_ms: u64,
}

/// A span that saw too many further tries.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
#[error("{retries} further tries in the span that ends at {ends_ms} ms, where {allowed} may be")]
pub struct RetryViolation {
    /// The end of the span, in milliseconds.
    pub ends_ms: u64,
    /// The further tries in it.
    pub retries: usize,
    /// How many there may be.
    pub allowed: f64,
}

/// Judges the times of the requests and of the further tries for one service, both sorted.
///
/// The requests count over the span, the one before it or the one half a span before it,
/// whichever has most.
///
/// # Errors
///
/// Returns the first span with too many further tries.
pub fn check_retries(
    requests_ms: &[u64],
    retries_ms: &[u64],
    bound: &RetryBound,
) -> Result<(), RetryViolation> {
    let window_ms = bound.window_ms;
    retries_ms.iter().try_for_each(|&ends_ms| {
        let spans = [0, window_ms / 2, window_ms];
        let requests = spans.map(|earlier| {
            let ends_ms = ends_ms.checked_sub(earlier)?;
            Some(count_in(requests_ms, ends_ms, window_ms))
        });
        let requests = requests.into_iter().flatten().max().unwrap_or(0);
        let allowed = bound.ratio * requests as f64 + bound.slack;
        let retries = count_in(retries_ms, ends_ms, window_ms);
        match retries as f64 <= allowed {
            true => Ok(()),
            false => Err(RetryViolation {
                ends_ms,
                retries,
                allowed,
            }),
        }
    })
}

/// Counts the times within a span that ends at an instant, both ends included.
fn count_in(times_ms: &[u64], ends_ms: u64, window_ms: u64) -> usize {
    let begins_ms = ends_ms.saturating_sub(window_ms);
    let up_to = times_ms.partition_point(|&at| at <= ends_ms);
    up_to - times_ms.partition_point(|&at| at < begins_ms)
}
