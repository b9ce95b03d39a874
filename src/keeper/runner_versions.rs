//! The newest states of runners, each with the version at which it last changed.

use crate::{fleet::RunnerState, units::RunnerName};

/// The newest states of runners, each with the version at which it last changed.
#[derive(Debug, Default)]
pub struct RunnerVersions {
    /// Sorted by name.
    known: Vec<VersionedState>,
}

#[derive(Debug)]
struct VersionedState {
    state: RunnerState,
    changed_at: u64,
}

impl RunnerVersions {
    /// Returns the state of a runner.
    pub fn get(&self, name: &RunnerName) -> Option<&RunnerState> {
        let position = self.find(name).ok()?;
        Some(&self.known[position].state)
    }

    /// Returns the states that changed after a version, sorted by name.
    pub fn changed_since(&self, version: u64) -> Vec<RunnerState> {
        let changed = self
            .known
            .iter()
            .filter(|runner| runner.changed_at > version);
        changed.map(|runner| runner.state.clone()).collect()
    }

    /// Applies newer states, and returns those that changed something.
    ///
    /// States that are equal to the known one or come from an earlier owner are ignored.
    pub fn update(&mut self, states: &[RunnerState], version: u64) -> Vec<RunnerState> {
        let mut changed_states = Vec::new();
        for state in states {
            if self.apply(state, version) {
                changed_states.push(state.clone());
            }
        }
        changed_states
    }

    fn apply(&mut self, state: &RunnerState, version: u64) -> bool {
        let next = || VersionedState {
            state: state.clone(),
            changed_at: version,
        };
        match self.find(&state.name) {
            Ok(position) => {
                let known = &mut self.known[position];
                if known.state == *state || is_older(state, &known.state) {
                    return false;
                }
                *known = next();
            }
            Err(position) => self.known.insert(position, next()),
        }
        true
    }

    /// Returns the states that report a leaving or lost runner for the first time.
    pub fn find_urgent(&self, states: &[RunnerState]) -> Vec<RunnerState> {
        let is_urgent = |state: &&RunnerState| match self.get(&state.name) {
            Some(known) => {
                !is_older(state, known)
                    && (state.leaving, state.reachable) != (known.leaving, known.reachable)
            }
            None => state.leaving || !state.reachable,
        };
        states.iter().filter(is_urgent).cloned().collect()
    }

    fn find(&self, name: &RunnerName) -> Result<usize, usize> {
        self.known
            .binary_search_by(|known| known.state.name.cmp(name))
    }
}

/// Returns whether a state is older than the known one.
///
/// A runner that leaves stays leaving for its incarnation, whichever source reported it first.
fn is_older(state: &RunnerState, known: &RunnerState) -> bool {
    if state.incarnation != known.incarnation {
        return (state.epoch, state.incarnation) < (known.epoch, known.incarnation);
    }
    state.epoch < known.epoch || (known.leaving && !state.leaving)
}
