//! The runners that can serve each model.

use {
    super::stable_hash,
    crate::{
        config::{Catalog, Runner},
        fleet::RunnerState,
        units::{AdapterName, DataCentreName, ModelName, RunnerName},
    },
    std::net::SocketAddr,
};

/// A runner that accepts requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRunner {
    /// The runner's name.
    pub name: RunnerName,
    /// The address that the runner listens on.
    pub address: SocketAddr,
    /// Whether the runner is in the data centre of this process.
    pub local: bool,
    /// The number of the runner's accelerators, at least one.
    pub accelerators: u32,
    /// The adapters in the runner's memory, sorted by name.
    pub adapters: Vec<AdapterName>,
    /// The [`stable_hash`] of the runner's name.
    pub(super) name_hash: u64,
}

/// The runners that hold a ready copy of one model.
#[derive(Debug, Clone, PartialEq)]
struct ModelRoute {
    model: ModelName,
    runners: Vec<usize>,
}

/// The runners that can serve each model, built from one view of the fleet.
///
/// The table contains only runners that are configured, reachable and not leaving.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    runners: Vec<RouteRunner>,
    models: Vec<ModelRoute>,
}

impl RouteTable {
    /// Builds the table for a process in the data centre `local_data_centre`.
    pub fn new(
        catalog: &Catalog,
        local_data_centre: &DataCentreName,
        states: &[RunnerState],
    ) -> Self {
        let mut runners = Vec::with_capacity(states.len());
        let mut copies = Vec::new();
        for state in sorted_by_name(states) {
            let Some(runner) = catalog.runner(&state.name) else {
                continue;
            };
            if state.leaving || !state.reachable {
                continue;
            }
            let ready = state.models.iter().filter(|resident| resident.ready);
            copies.extend(ready.map(|resident| (resident.model.clone(), runners.len())));
            runners.push(RouteRunner::new(runner, state, local_data_centre));
        }
        copies.sort();
        let models = copies
            .chunk_by(|a, b| a.0 == b.0)
            .map(ModelRoute::new)
            .collect();
        Self { runners, models }
    }

    /// Returns the runners that hold a ready copy of a model, sorted by name.
    pub fn candidates(&self, model: &ModelName) -> impl Iterator<Item = &RouteRunner> + Clone {
        let route = self
            .models
            .binary_search_by(|route| route.model.cmp(model))
            .map(|position| self.models[position].runners.as_slice())
            .unwrap_or_default();
        route.iter().map(|&index| &self.runners[index])
    }

    /// Returns the total number of accelerators of the runners that hold a ready copy of a model.
    pub fn accelerators(&self, model: &ModelName) -> u32 {
        self.candidates(model)
            .map(|runner| runner.accelerators)
            .sum()
    }

    /// Returns the runner of a name, if it accepts requests.
    pub fn runner(&self, name: &RunnerName) -> Option<&RouteRunner> {
        let position = self
            .runners
            .binary_search_by(|runner| runner.name.cmp(name));
        position.ok().map(|position| &self.runners[position])
    }

    /// Returns all models with a ready copy, sorted by name.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.models.iter().map(|route| &route.model)
    }
}

impl RouteRunner {
    fn new(runner: &Runner, state: &RunnerState, local_data_centre: &DataCentreName) -> Self {
        let mut adapters = state.adapters.clone();
        adapters.sort();
        Self {
            name: runner.name.clone(),
            address: runner.address,
            local: runner.data_centre == *local_data_centre,
            accelerators: runner.accelerators.max(1),
            adapters,
            name_hash: stable_hash(runner.name.as_str()),
        }
    }

    /// Returns whether the runner has an adapter in memory.
    pub fn holds(&self, adapter: &AdapterName) -> bool {
        self.adapters.binary_search(adapter).is_ok()
    }
}

impl ModelRoute {
    fn new(copies: &[(ModelName, usize)]) -> Self {
        Self {
            model: copies[0].0.clone(),
            runners: copies.iter().map(|(_, index)| *index).collect(),
        }
    }
}

fn sorted_by_name(states: &[RunnerState]) -> Vec<&RunnerState> {
    let mut sorted: Vec<_> = states.iter().collect();
    sorted.sort_by(|a, b| a.name.cmp(&b.name));
    sorted.dedup_by(|a, b| a.name == b.name);
    sorted
}
