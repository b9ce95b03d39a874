//! The time of day, for published timestamps and start numbers only.

use {super::Incarnation, std::time::UNIX_EPOCH};

/// Returns the milliseconds since 1970.
///
/// Intervals and deadlines use the runtime's clock instead.
pub fn unix_now_ms() -> u64 {
    let since = std::time::SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

impl Incarnation {
    /// Returns the number for a process that starts now.
    pub fn from_current_time() -> Self {
        Self(unix_now_ms())
    }
}
