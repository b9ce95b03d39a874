//! The plain service: its record and its fault switches.

use {
    super::{PlainFaults, RunCounts, faults::RequestFate},
    crate::standin::Controlled,
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// What a plain service recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainRecord {
    /// Requests that change nothing and were answered.
    pub reads: u64,
    /// Requests that ran and may not be repeated.
    pub runs: u64,
    /// Requests that were refused without running.
    pub refused: u64,
    /// Runs by request id.
    pub runs_by_request: RunCounts,
    /// Runs by idempotency key.
    pub runs_by_key: RunCounts,
}

/// A plain service; clones share all state.
#[derive(Debug, Clone, Default)]
pub struct PlainService {
    record: Arc<Mutex<PlainRecord>>,
    faults: Arc<Mutex<PlainFaults>>,
}

impl PlainService {
    /// Makes a service that has run nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the fault switches as they stand.
    pub fn faults(&self) -> PlainFaults {
        *lock(&self.faults)
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: PlainFaults) {
        *lock(&self.faults) = faults;
    }

    /// Returns what was recorded.
    pub fn record(&self) -> PlainRecord {
        lock(&self.record).clone()
    }

    pub(super) fn take_fate(&self) -> RequestFate {
        lock(&self.faults).take_fate()
    }

    pub(super) fn record_mut(&self) -> MutexGuard<'_, PlainRecord> {
        lock(&self.record)
    }
}

impl Controlled for PlainService {
    type Faults = PlainFaults;

    fn faults(&self) -> PlainFaults {
        PlainService::faults(self)
    }

    fn set_faults(&self, faults: PlainFaults) {
        PlainService::set_faults(self, faults);
    }

    fn record(&self) -> Value {
        serde_json::to_value(PlainService::record(self)).unwrap_or_default()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
