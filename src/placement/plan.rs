//! The input and output of the planner.

use {
    super::DemandRate,
    crate::{
        config::Catalog,
        fleet::{Move, RunnerState},
        units::{DataCentreName, MemoryMib, ModelName, RunnerName},
    },
};

/// Tokens that one accelerator generates per second at full load, unless configured otherwise.
const TOKENS_PER_ACCELERATOR_S: f64 = 1_000.0;

/// Memory of a runner that is reserved besides its residents, such as for an order with an
/// unknown outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The runner.
    pub runner: RunnerName,
    /// The reserved part of the memory for models.
    pub memory_mib: MemoryMib,
}

/// A model that a runner is unloading; its memory stays in use until the unload is done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unloading {
    /// The runner.
    pub runner: RunnerName,
    /// The model.
    pub model: ModelName,
}

/// The input of the planner of one data centre.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// The configuration.
    pub catalog: &'a Catalog,
    /// The planned data centre: moves are planned for its runners only.
    pub data_centre: &'a DataCentreName,
    /// The runners of all data centres.
    pub runners: &'a [RunnerState],
    /// Memory reserved besides the residents.
    pub reservations: &'a [Reservation],
    /// The models that are being unloaded.
    pub unloading: &'a [Unloading],
    /// The demand of all callers, sorted by model and adapter.
    pub demand: &'a [DemandRate],
    /// Tokens that one accelerator generates per second at full load.
    pub tokens_per_accelerator_s: f64,
}

impl<'a> PlanInput<'a> {
    /// Creates an input without reservations, unloads in progress and demand.
    pub fn new(
        catalog: &'a Catalog,
        data_centre: &'a DataCentreName,
        runners: &'a [RunnerState],
    ) -> Self {
        Self {
            catalog,
            data_centre,
            runners,
            reservations: &[],
            unloading: &[],
            demand: &[],
            tokens_per_accelerator_s: TOKENS_PER_ACCELERATOR_S,
        }
    }
}

/// The output of the planner.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// The moves to start now, urgent ones first; each can start at once.
    pub moves: Vec<Move>,
    /// The models whose home is the planned data centre that have too few copies and no room.
    pub unplaced: Vec<ModelName>,
}
