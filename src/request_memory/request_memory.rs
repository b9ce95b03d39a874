//! The memory of a process for bodies, shared by all that hold some.

use {
    super::{Decision, Holder, Ledger, MemoryLimits, MemoryShare, ShareId},
    crate::telemetry::{Counter, MetricText},
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::{
        sync::Notify,
        time::{Duration, Instant},
    },
};

/// The shortest time between two log lines about a lack of memory.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The memory of a process for the bodies of requests and responses.
#[derive(Debug, Clone, Default)]
pub struct RequestMemory(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    ledger: Mutex<Ledger>,
    /// Told when a share returns bytes, or must give way.
    changed: Notify,
    gave_way: Counter,
    refused: Counter,
    logged_at: Mutex<Option<Instant>>,
}

impl RequestMemory {
    /// Creates the memory with these limits.
    pub fn new(limits: MemoryLimits) -> Self {
        let memory = Self::default();
        memory.set_limits(limits);
        memory
    }

    /// Replaces the limits; what is held stays held.
    pub fn set_limits(&self, limits: MemoryLimits) {
        self.ledger().set_limits(limits);
    }

    /// Returns a share that holds nothing yet.
    pub fn share(&self, holder: Holder) -> MemoryShare {
        MemoryShare::new(self.clone(), holder)
    }

    /// Writes the metrics.
    pub fn render(&self, text: &mut MetricText) {
        let held_bytes = self.ledger().held_bytes();
        for (name, kind, help, value) in [
            (
                "ggt_body_memory_bytes",
                "gauge",
                "Memory of the bodies of requests and responses.",
                held_bytes as f64,
            ),
            (
                "ggt_bodies_gave_way_total",
                "counter",
                "Slow unfinished bodies that were ended for lack of memory.",
                self.0.gave_way.get() as f64,
            ),
            (
                "ggt_bodies_refused_total",
                "counter",
                "Bodies for which there was no memory.",
                self.0.refused.get() as f64,
            ),
        ] {
            text.single(name, kind, help, value);
        }
    }

    pub(super) fn open(&self, holder: Holder, begun_at: Instant) -> ShareId {
        self.ledger().open(holder, begun_at)
    }

    pub(super) fn ask(&self, id: ShareId, wanted_bytes: usize, received_bytes: usize) -> Decision {
        let now = Instant::now();
        let decision = self.ledger().ask(id, wanted_bytes, received_bytes, now);
        match decision {
            Decision::GivesWay(_) => {
                self.0.gave_way.count();
                self.0.changed.notify_waiters();
                self.log(now);
            }
            Decision::Refused => {
                self.0.refused.count();
                self.log(now);
            }
            Decision::Granted | Decision::Wait => {}
        }
        decision
    }

    pub(super) fn set_holder(&self, id: ShareId, holder: Holder) {
        self.ledger().set_holder(id, holder);
    }

    pub(super) fn close(&self, id: ShareId) {
        self.ledger().close(id);
        self.0.changed.notify_waiters();
    }

    pub(super) fn must_give_way(&self, id: ShareId) -> bool {
        self.ledger().must_give_way(id)
    }

    /// Returns what is told of changes.
    pub(super) fn changed(&self) -> &Notify {
        &self.0.changed
    }

    fn log(&self, now: Instant) {
        let mut logged_at = lock(&self.0.logged_at);
        if logged_at.is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL) {
            *logged_at = Some(now);
            let (gave_way, refused) = (self.0.gave_way.get(), self.0.refused.get());
            log::warn!(
                gave_way = gave_way, refused = refused;
                "request memory: it is used up; {gave_way} slow bodies were ended and {refused} refused"
            );
        }
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.0.ledger)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
