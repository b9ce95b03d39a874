//! The `Retry-After` header of responses.

use {
    hyper::{HeaderMap, header},
    std::time::Duration,
    thiserror::Error,
};

/// The longest wait that is read from a header; longer ones are shortened to it.
pub const RETRY_AFTER_MAX: Duration = Duration::from_secs(3600);

/// A `Retry-After` header that holds no number of seconds.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the header Retry-After holds no number of seconds")]
pub struct RetryAfterError;

/// Returns the longest wait that the `Retry-After` headers of a response name; `None` without one.
///
/// Seconds may have a fraction; dates are not supported.
///
/// # Errors
///
/// Returns an error when no header holds a number of seconds.
pub fn read_retry_after(headers: &HeaderMap) -> Result<Option<Duration>, RetryAfterError> {
    let values = headers.get_all(header::RETRY_AFTER).iter();
    let waits: Vec<_> = values
        .map(|value| seconds(value.to_str().ok()?.trim()))
        .collect();
    match waits.iter().flatten().max() {
        None if !waits.is_empty() => Err(RetryAfterError),
        longest => Ok(longest.copied()),
    }
}

/// Parses digits with an optional fraction; signs and exponents are not allowed.
fn seconds(text: &str) -> Option<Duration> {
    let is_number = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_number)?;
    Duration::try_from_secs_f64(seconds.min(RETRY_AFTER_MAX.as_secs_f64())).ok()
}
