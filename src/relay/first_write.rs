//! The check of a request when its first byte is about to be written.

use {
    super::{KeyCheck, KeyDenial},
    crate::dispatch::{SendCheck, SendDenial},
    std::time::Duration,
    tokio::time::Instant,
};

/// The age from which a request head is too old to be sent: the time left that it names is wrong
/// by this much.
const HEAD_AGE_MAX: Duration = Duration::from_millis(200);

/// Why a request is not written although it was handed to its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WithheldCause {
    /// The caller no longer waits.
    TooLate,
    /// The head was prepared too long ago.
    OldHead,
    /// The runner may not be sent the request any more.
    Denied(SendDenial),
    /// The key of the request is no longer served.
    Key(KeyDenial),
}

/// Decides whether a request that was handed to its connection may be written.
#[derive(Debug)]
pub(super) struct FirstWrite {
    pub(super) prepared_at: Instant,
    /// The latest time at which a runner may still start the request.
    pub(super) latest_start: Instant,
    pub(super) check: Option<SendCheck>,
    pub(super) key: KeyCheck,
}

impl FirstWrite {
    /// Decides whether the first byte may be written now.
    ///
    /// # Errors
    ///
    /// Returns why not.
    pub(super) fn check(&self, now: Instant) -> Result<(), WithheldCause> {
        if now >= self.latest_start {
            return Err(WithheldCause::TooLate);
        }
        self.key.check().map_err(WithheldCause::Key)?;
        let checked = self.check.as_ref().map_or(Ok(()), |check| check.check(now));
        checked.map_err(WithheldCause::Denied)?;
        if now.saturating_duration_since(self.prepared_at) > HEAD_AGE_MAX {
            return Err(WithheldCause::OldHead);
        }
        if let Some(check) = &self.check {
            check.record_sent(now);
        }
        Ok(())
    }
}
