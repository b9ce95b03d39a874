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

/// The same time where a lost response must be noticed soon.
const LOST_RESPONSE_MARGIN: Duration = Duration::from_millis(1_500);

/// The time to begin another call after a lost one and to read its response.
const REPLACEMENT_RESERVE: Duration = Duration::from_millis(500);

/// The shortest wait that a long-polling watch asks for, however soon it must be replaced.
const WATCH_WAIT_MIN: Duration = Duration::from_secs(1);

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
    /// Returns the limits of [`WatchLimits::for_history`], with which a call whose response is lost
    /// is also replaced within a time after its begin.
    ///
    /// No other call need show that the response is lost.
    pub fn noticing_within(history: Duration, noticed_within: Duration) -> Self {
        let for_history = Self::for_history(history);
        let reserve = LOST_RESPONSE_MARGIN + REPLACEMENT_RESERVE;
        let wait = noticed_within.saturating_sub(reserve).max(WATCH_WAIT_MIN);
        if wait >= for_history.wait {
            return for_history;
        }
        Self {
            wait,
            call: CallLimits {
                timeout: wait + LOST_RESPONSE_MARGIN,
                ..for_history.call
            },
        }
    }

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
