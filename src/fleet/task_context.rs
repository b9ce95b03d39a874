//! The state that all runner tasks of a process share.

use {
    super::{AdapterPermits, AuditLog, FleetView, LoadLimiter, Owner, RunnerStates},
    crate::{config::Runner, engine::Engine, store::SharedStore, units::MemoryMib},
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// The divisor of the adapter pool's size that yields the adapter window: the memory that an owner
/// may reserve for adapters before it reloads its record.
const ADAPTER_WINDOW_DIVISOR: u64 = 4;

/// Creates the client of a runner's engine.
pub type EngineFactory = dyn Fn(&Runner) -> Arc<dyn Engine> + Send + Sync;

/// The polling interval and the timeout of runner tasks.
#[derive(Debug, Clone, Copy)]
pub struct FleetTiming {
    /// The time between two polls of an engine.
    pub status_interval: Duration,
    /// The timeout of orders and status requests to an engine.
    pub order_timeout: Duration,
}

/// The state that all runner tasks of a process share.
pub(super) struct TaskContext {
    pub(super) store: SharedStore,
    pub(super) engine_factory: Box<EngineFactory>,
    pub(super) me: Owner,
    pub(super) timing: FleetTiming,
    pub(super) load_limiter: Arc<LoadLimiter>,
    pub(super) adapter_permits: Arc<AdapterPermits>,
    pub(super) audit: AuditLog,
    pub(super) runner_states: RunnerStates,
    pub(super) view: watch::Sender<Arc<FleetView>>,
}

impl TaskContext {
    /// Returns the adapter memory that an owner may reserve before it reloads its record: a part of
    /// the pool, but at least the largest adapter.
    pub(super) fn adapter_window(&self, runner: &Runner) -> MemoryMib {
        let catalog = Arc::clone(&self.view.borrow().catalog);
        let largest = catalog
            .adapters
            .iter()
            .map(|adapter| adapter.memory_mib)
            .max();
        let part = MemoryMib(runner.adapter_pool_mib.0 / ADAPTER_WINDOW_DIVISOR);
        part.max(largest.unwrap_or_default())
            .min(runner.adapter_pool_mib)
    }
}
