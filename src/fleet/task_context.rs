//! What the runner tasks of a process share.

use {
    super::{AdapterPermits, AuditLog, FleetView, LoadGate, Owner, StateBoard},
    crate::{config::Runner, engine::Engine, store::SharedStore, units::MemoryMib},
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// The part of the adapter pool that an owner may fill before it reads its record again.
const WINDOW_DIVISOR: u64 = 4;

/// Opens the order interface of a runner.
pub type EngineFactory = dyn Fn(&Runner) -> Arc<dyn Engine> + Send + Sync;

/// How often and how long runner tasks wait.
#[derive(Debug, Clone, Copy)]
pub struct FleetTiming {
    /// The time between two polls of an engine.
    pub status_interval: Duration,
    /// The longest wait for an engine's answer.
    pub order_timeout: Duration,
}

/// What the runner tasks of a process share.
pub(super) struct TaskContext {
    pub(super) store: SharedStore,
    pub(super) engines: Box<EngineFactory>,
    pub(super) me: Owner,
    pub(super) timing: FleetTiming,
    pub(super) gate: Arc<LoadGate>,
    pub(super) adapter_permits: Arc<AdapterPermits>,
    pub(super) audit: AuditLog,
    pub(super) board: StateBoard,
    pub(super) view: watch::Sender<Arc<FleetView>>,
}

impl TaskContext {
    /// Returns how much adapter memory an owner may order before it reads its record again.
    pub(super) fn adapter_window(&self, runner: &Runner) -> MemoryMib {
        let catalog = Arc::clone(&self.view.borrow().catalog);
        let largest = catalog
            .adapters
            .iter()
            .map(|adapter| adapter.memory_mib)
            .max();
        let part = MemoryMib(runner.adapter_pool_mib.0 / WINDOW_DIVISOR);
        part.max(largest.unwrap_or_default())
            .min(runner.adapter_pool_mib)
    }
}
