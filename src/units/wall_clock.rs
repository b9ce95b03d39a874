//! The wall clock, for published timestamps and incarnation numbers only.

use {super::Incarnation, std::time::UNIX_EPOCH};

/// Returns the wall-clock time in milliseconds since 1970.
///
/// Intervals and deadlines use the runtime's monotonic clock instead, as the wall clock may be set.
pub fn unix_now_ms() -> u64 {
    let elapsed = std::time::SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

impl Incarnation {
    /// Returns the incarnation of a process that starts now: the wall-clock time in milliseconds.
    pub fn from_current_time() -> Self {
        Self(unix_now_ms())
    }
}
