//! The limits of calls to a store that answers over HTTP.

use {
    crate::http::{CallLimits, ClientLimits},
    std::time::Duration,
};

/// The largest answer of a store, in bytes.
const ANSWER_MAX_BYTES: usize = 8 << 20;

/// The longest that a store is asked to hold back an answer to a watch.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(25);

/// How much later than asked the answer to a watch may come.
const WATCH_ANSWER_SLACK: Duration = Duration::from_secs(3);

/// The limits of calls that are answered at once.
pub const STORE_CALLS: ClientLimits = ClientLimits {
    connect_timeout: Duration::from_millis(1_000),
    call: CallLimits {
        timeout: Duration::from_millis(1_500),
        answer_max_bytes: ANSWER_MAX_BYTES,
    },
};

/// The limits of calls that wait for changes.
#[derive(Debug, Clone, Copy)]
pub struct WatchLimits {
    /// How long the store may hold back its answer.
    pub wait: Duration,
    /// The limits of the call.
    pub call: CallLimits,
}

impl WatchLimits {
    /// Returns the limits for a store that keeps its history for a time.
    ///
    /// The store answers well before its history ends, or a quiet watch would be compacted.
    pub fn for_history(history: Duration) -> Self {
        let wait = WATCH_WAIT_MAX.min(history * 3 / 4);
        Self {
            wait,
            call: CallLimits {
                timeout: wait + WATCH_ANSWER_SLACK,
                answer_max_bytes: ANSWER_MAX_BYTES,
            },
        }
    }
}
