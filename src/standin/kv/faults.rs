//! The fault switches of the key-value service.

use serde::{Deserialize, Serialize};

/// The fault switches of the key-value service, all off by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KvFaults {
    /// Connections are refused.
    pub down: bool,
    /// Calls are taken but neither run nor answered.
    pub silent: bool,
    /// How long each call waits before it runs, in milliseconds.
    pub slow_ms: u64,
    /// The number of coming writes that take effect but whose answer is lost.
    pub lost_answers: u32,
    /// The number of coming writes that are lost before they take effect.
    pub lost_calls: u32,
    /// Watches report nothing, not even signs of life.
    pub watch_silent: bool,
    /// Watches give signs of life but no changes.
    pub watch_stale: bool,
}

/// What becomes of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallFate {
    Normal,
    Refused,
    NeverRuns,
    AnswerLost,
}

impl KvFaults {
    /// No fault.
    pub const NONE: Self = Self {
        down: false,
        silent: false,
        slow_ms: 0,
        lost_answers: 0,
        lost_calls: 0,
        watch_silent: false,
        watch_stale: false,
    };

    /// The service is down.
    pub const DOWN: Self = Self {
        down: true,
        ..Self::NONE
    };

    /// The service is silent.
    pub const SILENT: Self = Self {
        silent: true,
        ..Self::NONE
    };

    /// The watches are silent.
    pub const WATCH_SILENT: Self = Self {
        watch_silent: true,
        ..Self::NONE
    };

    /// Decides what becomes of the next call and uses up the switch that decided it.
    pub(super) fn take_fate(&mut self, writes: bool) -> CallFate {
        if self.down {
            return CallFate::Refused;
        }
        if self.silent {
            return CallFate::NeverRuns;
        }
        if writes && self.lost_calls > 0 {
            self.lost_calls -= 1;
            return CallFate::NeverRuns;
        }
        if writes && self.lost_answers > 0 {
            self.lost_answers -= 1;
            return CallFate::AnswerLost;
        }
        CallFate::Normal
    }
}
