//! Timeouts and size limits of calls to a key-value service over HTTP.

use {
    crate::http::{CallLimits, ClientLimits},
    std::time::Duration,
};

/// The largest response body that is accepted, in bytes.
const RESPONSE_MAX_BYTES: usize = 8 << 20;

/// The longest time for which a long-polling watch asks the service to delay its response.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(25);

/// The time allowed for the response to a long-polling watch, beyond the requested delay.
const WATCH_RESPONSE_MARGIN: Duration = Duration::from_secs(3);

/// The limits of calls that the service answers without waiting for changes.
pub const STORE_CLIENT_LIMITS: ClientLimits = ClientLimits {
    connect_timeout: Duration::from_millis(1_000),
    call: CallLimits {
        timeout: Duration::from_millis(1_500),
        answer_max_bytes: RESPONSE_MAX_BYTES,
    },
};

/// The limits of long-polling calls that wait for changes.
#[derive(Debug, Clone, Copy)]
pub struct WatchLimits {
    /// The time for which the service may delay its response while nothing changes.
    pub wait: Duration,
    /// The limits of each call.
    pub call: CallLimits,
}

impl WatchLimits {
    /// Returns the limits for a service that keeps its history for the given time.
    ///
    /// The wait is shorter than the history: with a longer wait, the version from which an idle
    /// watch continues could be compacted before the response arrives.
    pub fn for_history(history: Duration) -> Self {
        let wait = WATCH_WAIT_MAX.min(history * 3 / 4);
        Self {
            wait,
            call: CallLimits {
                timeout: wait + WATCH_RESPONSE_MARGIN,
                answer_max_bytes: RESPONSE_MAX_BYTES,
            },
        }
    }
}
