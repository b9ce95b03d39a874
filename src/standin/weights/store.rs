//! How long loads take at the weight store, and what its limits saw.

use {
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    serde::{Deserialize, Serialize},
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// The limits of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightLimits {
    /// Model loads that may start, per second.
    pub model_loads_per_s: f64,
    /// Model loads at full speed at once; more of them share this speed.
    pub model_loads_at_once_max: u32,
    /// How long a model load takes at full speed, in milliseconds.
    pub model_load_ms: u64,
    /// Adapter loads at full speed at once; more of them share this speed.
    pub adapter_loads_at_once_max: u32,
    /// The shortest adapter load, in milliseconds.
    pub adapter_load_min_ms: u64,
    /// The longest adapter load at full speed, in milliseconds.
    pub adapter_load_max_ms: u64,
    /// Seeds the times of adapter loads.
    pub seed: u64,
}

impl Default for WeightLimits {
    fn default() -> Self {
        Self {
            model_loads_per_s: 2.5,
            model_loads_at_once_max: 3,
            model_load_ms: 1_000,
            adapter_loads_at_once_max: 24,
            adapter_load_min_ms: 5,
            adapter_load_max_ms: 14,
            seed: 1,
        }
    }
}

/// What the limits saw.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightRecord {
    /// Model loads that were requested.
    pub model_loads: u64,
    /// Model loads that had to wait for the rate.
    pub model_loads_delayed: u64,
    /// The most model loads in flight at once.
    pub model_loads_at_once: u32,
    /// Adapter loads that were requested.
    pub adapter_loads: u64,
    /// The most adapter loads in flight at once.
    pub adapter_loads_at_once: u32,
}

/// What is loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadKind {
    /// A model.
    Model,
    /// An adapter.
    Adapter,
}

#[derive(Debug)]
struct State {
    record: WeightRecord,
    models_in_flight: u32,
    adapters_in_flight: u32,
    next_start: Instant,
    random: SmallRng,
}

/// The weight store; a load returns once the weights are there.
#[derive(Debug)]
pub struct WeightStore {
    limits: WeightLimits,
    state: Mutex<State>,
}

impl WeightStore {
    /// Makes a weight store with these limits.
    pub fn new(limits: WeightLimits) -> Self {
        let state = State {
            record: WeightRecord::default(),
            models_in_flight: 0,
            adapters_in_flight: 0,
            next_start: Instant::now(),
            random: SmallRng::seed_from_u64(limits.seed),
        };
        Self {
            limits,
            state: Mutex::new(state),
        }
    }

    /// Returns what the limits saw.
    pub fn record(&self) -> WeightRecord {
        self.state().record
    }

    /// Loads a model or an adapter.
    pub async fn load(&self, kind: LoadKind) {
        match kind {
            LoadKind::Model => self.load_model().await,
            LoadKind::Adapter => self.load_adapter().await,
        }
    }

    async fn load_model(&self) {
        let start = self.reserve_start();
        tokio::time::sleep_until(start).await;
        let flight = InFlight::new(self, LoadKind::Model);
        let slowdown = slowdown(flight.at_once, self.limits.model_loads_at_once_max);
        sleep(Duration::from_millis(self.limits.model_load_ms).mul_f64(slowdown)).await;
    }

    async fn load_adapter(&self) {
        let flight = InFlight::new(self, LoadKind::Adapter);
        let slowdown = slowdown(flight.at_once, self.limits.adapter_loads_at_once_max);
        let range_ms = self.limits.adapter_load_min_ms..=self.limits.adapter_load_max_ms;
        let load_ms = self.state().random.random_range(range_ms);
        sleep(Duration::from_millis(load_ms).mul_f64(slowdown)).await;
    }

    fn reserve_start(&self) -> Instant {
        let now = Instant::now();
        let mut state = self.state();
        let start = state.next_start.max(now);
        state.next_start = start + Duration::from_secs_f64(1.0 / self.limits.model_loads_per_s);
        state.record.model_loads += 1;
        if start > now {
            state.record.model_loads_delayed += 1;
        }
        start
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns how many times longer a load takes with this many in flight.
fn slowdown(at_once: u32, full_speed_max: u32) -> f64 {
    (f64::from(at_once) / f64::from(full_speed_max.max(1))).max(1.0)
}

/// Counts a load as in flight until it is dropped.
struct InFlight<'a> {
    store: &'a WeightStore,
    kind: LoadKind,
    at_once: u32,
}

impl<'a> InFlight<'a> {
    fn new(store: &'a WeightStore, kind: LoadKind) -> Self {
        let mut state = store.state();
        let at_once = match kind {
            LoadKind::Model => {
                state.models_in_flight += 1;
                let at_once = state.models_in_flight;
                let most = &mut state.record.model_loads_at_once;
                *most = at_once.max(*most);
                at_once
            }
            LoadKind::Adapter => {
                state.adapters_in_flight += 1;
                let at_once = state.adapters_in_flight;
                state.record.adapter_loads += 1;
                let most = &mut state.record.adapter_loads_at_once;
                *most = at_once.max(*most);
                at_once
            }
        };
        drop(state);
        Self {
            store,
            kind,
            at_once,
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let mut state = self.store.state();
        match self.kind {
            LoadKind::Model => state.models_in_flight -= 1,
            LoadKind::Adapter => state.adapters_in_flight -= 1,
        }
    }
}
