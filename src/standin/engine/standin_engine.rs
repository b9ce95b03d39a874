//! The stand-in engine as a whole.

use {
    super::{
        BatchQueue, CacheEvent, EngineFaults, EngineRecord, EngineSettings, EventLog, PrefixCache,
        Residents, load_report::LoadReport, order_log::OrderLog,
    },
    crate::{
        engine::{EngineLoad, EngineRole, EngineStatus},
        standin::weights::WeightSource,
        units::Incarnation,
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::watch,
};

/// What changes while the engine runs.
#[derive(Debug)]
pub(super) struct State {
    pub(super) incarnation: Incarnation,
    pub(super) role: EngineRole,
    pub(super) residents: Residents,
    pub(super) orders: OrderLog,
    pub(super) record: EngineRecord,
    pub(super) cache: PrefixCache,
    pub(super) events: EventLog,
    load_report: LoadReport,
}

#[derive(Debug)]
struct Shared {
    settings: EngineSettings,
    weights: WeightSource,
    queue: BatchQueue,
    state: Mutex<State>,
    faults: Mutex<EngineFaults>,
    starts: watch::Sender<Incarnation>,
}

/// A stand-in of a model engine; clones share all state.
#[derive(Debug, Clone)]
pub struct StandinEngine {
    shared: Arc<Shared>,
}

impl StandinEngine {
    /// Makes an engine with empty memory.
    pub fn new(settings: EngineSettings, weights: WeightSource) -> Self {
        let incarnation = settings.incarnation;
        let state = State {
            incarnation,
            role: EngineRole::default(),
            residents: Residents::default(),
            orders: OrderLog::default(),
            record: EngineRecord::default(),
            cache: PrefixCache::new(settings.cache_blocks_max),
            events: EventLog::default(),
            load_report: LoadReport::new(),
        };
        let shared = Shared {
            weights,
            queue: BatchQueue::new(settings.batch_max),
            state: Mutex::new(state),
            faults: Mutex::default(),
            starts: watch::Sender::new(incarnation),
            settings,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the sizes and speeds.
    pub fn settings(&self) -> &EngineSettings {
        &self.shared.settings
    }

    /// Returns the fault switches as they stand.
    pub fn faults(&self) -> EngineFaults {
        *self.faults_mut()
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: EngineFaults) {
        *self.faults_mut() = faults;
    }

    /// Returns what was recorded.
    pub fn record(&self) -> EngineRecord {
        self.state().record.clone()
    }

    /// Restarts the engine: its memory is empty, requests and loads in progress are lost.
    pub fn restart(&self) {
        let mut state = self.state();
        state.incarnation = state.incarnation.next();
        state.role = EngineRole::default();
        state.residents = Residents::default();
        state.orders = OrderLog::default();
        state.cache = PrefixCache::new(self.settings().cache_blocks_max);
        self.shared.starts.send_replace(state.incarnation);
    }

    /// Returns the load as it is now.
    pub fn load(&self) -> EngineLoad {
        self.load_with(&self.state())
    }

    /// Returns the status, with a load that lags behind.
    pub fn read_status(&self) -> EngineStatus {
        let leaving = self.faults().leaving;
        let mut state = self.state();
        let now = self.load_with(&state);
        let lag = Duration::from_millis(self.settings().status_lag_ms);
        EngineStatus {
            incarnation: state.incarnation,
            leaving,
            role: state.role,
            models: state.residents.model_residents(),
            adapters: state.residents.adapter_residents(),
            finished: state.orders.finished(),
            load: state.load_report.read(now, lag),
        }
    }

    /// Returns the published cache events after a number.
    pub fn read_events(&self, after: u64) -> Vec<CacheEvent> {
        let lag = Duration::from_millis(self.settings().event_lag_ms);
        self.state().events.read(after, lag)
    }

    /// Returns the load as the header `x-engine-load` carries it.
    pub(super) fn load_text(&self) -> String {
        let state = self.state();
        let load = self.load_with(&state);
        format!(
            "waiting={} running={} kv_used_permille={} incarnation={}",
            load.waiting, load.running, load.kv_used_permille, state.incarnation
        )
    }

    pub(super) fn queue(&self) -> &BatchQueue {
        &self.shared.queue
    }

    pub(super) fn weights(&self) -> &WeightSource {
        &self.shared.weights
    }

    /// Returns a receiver that is told of each new start.
    pub(super) fn starts(&self) -> watch::Receiver<Incarnation> {
        self.shared.starts.subscribe()
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.shared.state)
    }

    pub(super) fn faults_mut(&self) -> MutexGuard<'_, EngineFaults> {
        lock(&self.shared.faults)
    }

    fn load_with(&self, state: &State) -> EngineLoad {
        EngineLoad {
            waiting: self.queue().waiting(),
            running: self.queue().running(),
            kv_used_permille: state.cache.used_permille(),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
