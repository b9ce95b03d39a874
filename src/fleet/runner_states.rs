//! The newest known state of every runner.

use {
    super::{RunnerRecord, RunnerState},
    crate::units::{Epoch, ModelName, RunnerName},
    std::sync::Arc,
    tokio::sync::watch,
};

/// The newest known state of every runner, sorted by name.
#[derive(Debug)]
pub struct RunnerStates {
    states: watch::Sender<Arc<Vec<RunnerState>>>,
}

impl Default for RunnerStates {
    fn default() -> Self {
        Self {
            states: watch::Sender::new(Arc::default()),
        }
    }
}

impl RunnerStates {
    /// Returns a receiver of the states.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Vec<RunnerState>>> {
        self.states.subscribe()
    }

    /// Stores a runner's state, unless the state of a newer owner is known.
    pub fn update(&self, state: RunnerState) {
        self.states.send_if_modified(|states| {
            let position = states.binary_search_by(|known| known.name.cmp(&state.name));
            match position {
                Ok(at) if states[at].epoch > state.epoch || states[at] == state => false,
                Ok(at) => {
                    Arc::make_mut(states)[at] = state;
                    true
                }
                Err(at) => {
                    Arc::make_mut(states).insert(at, state);
                    true
                }
            }
        });
    }

    /// Stores the state in a runner's record. The record lists no adapters, so the adapters stay as
    /// last reported.
    pub fn apply_record(&self, record: &RunnerRecord) {
        let mut state = RunnerState::from(record);
        if let Some(known) = self.find(&record.name)
            && known.incarnation == state.incarnation
        {
            state.adapters = known.adapters;
        }
        self.update(state);
    }

    /// Removes the runners that `is_wanted` rejects.
    pub fn retain(&self, is_configured: impl Fn(&RunnerName) -> bool) {
        self.states.send_if_modified(|states| {
            let has_unconfigured = states.iter().any(|state| !is_configured(&state.name));
            if has_unconfigured {
                Arc::make_mut(states).retain(|state| is_configured(&state.name));
            }
            has_unconfigured
        });
    }

    /// Returns the runners that serve a model according to their last known state, except one.
    pub fn runners_serving(&self, model: &ModelName, except: &RunnerName) -> Vec<RunnerName> {
        let serves = |state: &&RunnerState| {
            let ready = |held: &crate::engine::ModelResident| held.ready && held.model == *model;
            state.name != *except
                && state.reachable
                && !state.leaving
                && state.models.iter().any(ready)
        };
        let states = self.states.borrow();
        let found = states.iter().filter(serves);
        found.map(|state| state.name.clone()).collect()
    }

    /// Returns the newest known fencing epoch of a runner.
    pub fn known_epoch(&self, name: &RunnerName) -> Epoch {
        self.find(name).map(|state| state.epoch).unwrap_or_default()
    }

    fn find(&self, name: &RunnerName) -> Option<RunnerState> {
        let states = self.states.borrow();
        let position = states.binary_search_by(|known| known.name.cmp(name)).ok()?;
        states.get(position).cloned()
    }
}
