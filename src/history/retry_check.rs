//! Checks that the retries of a service stay within the retry budget, over all nodes together.

use thiserror::Error;

/// The bound on the retries in any window of time.
#[derive(Debug, Clone, Copy)]
pub struct RetryBound {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed regardless of the number of requests.
    pub slack: f64,
    /// The length of the window, in milliseconds.
    pub window_ms: u64,
}

/// A window with too many retries.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
#[error("{retries} retries in the window that ends at {ends_ms} ms; {allowed} are allowed")]
pub struct RetryViolation {
    /// The end of the window, in milliseconds.
    pub ends_ms: u64,
    /// The retries in the window.
    pub retries: usize,
    /// The retries allowed in the window.
    pub allowed: f64,
}

/// Checks the times of the requests and of the retries of one service, both sorted.
///
/// The bound uses the requests of the window itself, of the window before it, or of the window
/// half a window earlier, whichever has the most.
///
/// # Errors
///
/// Returns the first window with too many retries.
pub fn check_retries(
    requests_ms: &[u64],
    retries_ms: &[u64],
    bound: &RetryBound,
) -> Result<(), RetryViolation> {
    let window_ms = bound.window_ms;
    retries_ms.iter().try_for_each(|&ends_ms| {
        let offsets_ms = [0, window_ms / 2, window_ms];
        let requests = offsets_ms.map(|earlier| {
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

/// Counts the times within a window that ends at `ends_ms`, both ends included.
fn count_in(times_ms: &[u64], ends_ms: u64, window_ms: u64) -> usize {
    let begins_ms = ends_ms.saturating_sub(window_ms);
    let up_to = times_ms.partition_point(|&at| at <= ends_ms);
    up_to - times_ms.partition_point(|&at| at < begins_ms)
}
