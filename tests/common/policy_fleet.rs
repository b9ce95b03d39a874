//! A fleet that executes plans in rounds and checks the invariants after each round.

use greengagetrail::{
    config::Catalog,
    engine::ModelResident,
    fleet::{Move, MoveChange, RunnerState},
    placement::{DemandRate, PlanInput, Unloading, plan},
    units::DataCentreName,
};

/// The number of rounds that a load or unload takes.
pub const LOAD_ROUNDS: usize = 2;

struct MoveInProgress {
    rounds_left: usize,
    planned: Move,
}

/// A fleet that executes the plans of all data centres.
pub struct PolicyFleet {
    pub catalog: Catalog,
    pub demand: Vec<DemandRate>,
    pub states: Vec<RunnerState>,
    /// Whether planners see the runners of other data centres as they were one round earlier.
    pub has_stale_views: bool,
    previous_states: Vec<RunnerState>,
    in_progress: Vec<MoveInProgress>,
}

impl PolicyFleet {
    pub fn new(catalog: Catalog, demand: Vec<DemandRate>) -> Self {
        let runners = catalog.runners.iter();
        let states = runners.map(|runner| super::policy::state(runner.name.as_str(), &[]));
        let states: Vec<RunnerState> = states.collect();
        Self {
            previous_states: states.clone(),
            has_stale_views: false,
            states,
            catalog,
            demand,
            in_progress: Vec::new(),
        }
    }

    /// Replaces the state of a runner by ready copies of models.
    pub fn set_copies(&mut self, runner: usize, models: &[&str]) {
        let name = self.states[runner].name.to_string();
        self.states[runner] = super::policy::state(&name, models);
    }

    /// Makes a runner unreachable, with the loss of its copies.
    pub fn fail_runner(&mut self, runner: usize) {
        let count = self.states.len();
        let state = &mut self.states[runner % count];
        state.reachable = false;
        state.models.clear();
        self.previous_states[runner % count] = state.clone();
        let name = state.name.clone();
        self.in_progress
            .retain(|open_move| open_move.planned.runner != name);
    }

    /// Runs rounds until no moves are planned or in progress.
    ///
    /// # Panics
    ///
    /// Panics if that takes more than `rounds_max` rounds.
    pub fn run_until_stable(&mut self, rounds_max: usize) {
        for _ in 0..rounds_max {
            if self.run_round().is_empty() && self.in_progress.is_empty() {
                return;
            }
        }
        panic!(
            "moves are still planned after {rounds_max} rounds: {:?}",
            self.run_round()
        );
    }

    /// Plans for every data centre, starts the moves and checks the invariants; returns the moves.
    pub fn run_round(&mut self) -> Vec<Move> {
        self.finish_moves();
        let moves = self.plan_moves();
        self.previous_states = self.states.clone();
        let at_once_max = self.catalog.deployment.model_loads_at_once_max as usize;
        let loads = moves
            .iter()
            .filter(|m| matches!(m.change, MoveChange::Load(_)));
        let data_centres = self.catalog.data_centres.len();
        assert!(
            loads.count() <= at_once_max * 4 * data_centres,
            "too many loads: {moves:?}"
        );
        let served = self.served();
        for planned in &moves {
            self.start(planned);
        }
        self.assert_memory_bounds();
        for name in served {
            let still = self.holders(&name);
            assert!(
                !still.is_empty(),
                "the last copy of {name} was unloaded: {moves:?}"
            );
        }
        moves
    }

    fn plan_moves(&self) -> Vec<Move> {
        let unloading: Vec<Unloading> = self.in_progress.iter().filter_map(unloading).collect();
        let plan_for = |data_centre| {
            let view = self.view_of(data_centre);
            let mut input = PlanInput::new(&self.catalog, data_centre, &view);
            input.demand = &self.demand;
            input.unloading = &unloading;
            plan(&input).moves
        };
        let data_centres = self.catalog.data_centres.iter();
        data_centres
            .flat_map(|data_centre| plan_for(&data_centre.name))
            .collect()
    }

    fn view_of(&self, data_centre: &DataCentreName) -> Vec<RunnerState> {
        let runners = self.catalog.runners.iter();
        let states = runners.zip(self.states.iter().zip(&self.previous_states));
        let view = states.map(|(runner, (current, previous))| {
            let is_current = runner.data_centre == *data_centre || !self.has_stale_views;
            if is_current { current } else { previous }
        });
        view.cloned().collect()
    }

    fn start(&mut self, planned: &Move) {
        let state = self
            .states
            .iter_mut()
            .find(|state| state.name == planned.runner);
        let state = state.expect("the runner is known");
        match &planned.change {
            MoveChange::Load(model) => {
                let object = self.catalog.model(model).expect("the model is configured");
                assert!(state.models.iter().all(|resident| resident.model != *model));
                state.models.push(ModelResident {
                    model: model.clone(),
                    version: object.version.clone(),
                    ready: false,
                });
            }
            MoveChange::Unload(model) => {
                let resident = state.models.iter_mut().find(|held| held.model == *model);
                resident.expect("the model is resident").ready = false;
            }
            MoveChange::LoadAdapter(adapter) => state.adapters.push(adapter.clone()),
            MoveChange::UnloadAdapter(adapter) => state.adapters.retain(|held| held != adapter),
        }
        state.models.sort_by(|a, b| a.model.cmp(&b.model));
        state.adapters.sort();
        if matches!(planned.change, MoveChange::Load(_) | MoveChange::Unload(_)) {
            self.in_progress.push(MoveInProgress {
                rounds_left: LOAD_ROUNDS,
                planned: planned.clone(),
            });
        }
    }

    fn finish_moves(&mut self) {
        for open_move in &mut self.in_progress {
            open_move.rounds_left -= 1;
            if open_move.rounds_left > 0 {
                continue;
            }
            let states = self.states.iter_mut();
            let state = states
                .into_iter()
                .find(|state| state.name == open_move.planned.runner);
            let state = state.expect("the runner is known");
            match &open_move.planned.change {
                MoveChange::Load(model) => {
                    let resident = state.models.iter_mut().find(|held| held.model == *model);
                    resident.expect("the model is resident").ready = true;
                }
                MoveChange::Unload(model) => state.models.retain(|held| held.model != *model),
                _ => {}
            }
        }
        self.in_progress
            .retain(|open_move| open_move.rounds_left > 0);
    }

    fn assert_memory_bounds(&self) {
        for state in &self.states {
            let runner = self.catalog.runner(&state.name).expect("it is configured");
            let models = state
                .models
                .iter()
                .filter_map(|held| self.catalog.model(&held.model));
            let held: u64 = models.map(|model| model.memory_mib.0).sum();
            assert!(
                held <= runner.model_memory_mib().0,
                "{held} MiB of models on {}",
                state.name
            );
            let adapters = state.adapters.iter();
            let adapters = adapters.filter_map(|name| self.catalog.adapter(name));
            let held: u64 = adapters.map(|adapter| adapter.memory_mib.0).sum();
            assert!(
                held <= runner.adapter_pool_mib.0,
                "{held} MiB in the adapter pool of {}",
                state.name
            );
        }
    }

    fn served(&self) -> Vec<String> {
        let names = self
            .catalog
            .models
            .iter()
            .map(|model| model.name.to_string());
        names
            .filter(|name| !self.holders(name).is_empty())
            .collect()
    }

    /// Returns the configured models that no runner serves.
    pub fn unserved(&self) -> Vec<String> {
        let names = self
            .catalog
            .models
            .iter()
            .map(|model| model.name.to_string());
        names.filter(|name| self.holders(name).is_empty()).collect()
    }

    /// Returns the runners that hold a ready copy of a model.
    pub fn holders(&self, model: &str) -> Vec<usize> {
        let holds = |state: &RunnerState| {
            let held = state
                .models
                .iter()
                .find(|held| held.model.as_str() == model);
            state.reachable && held.is_some_and(|held| held.ready)
        };
        (0..self.states.len())
            .filter(|&runner| holds(&self.states[runner]))
            .collect()
    }

    /// Returns the versions of the copies of a model.
    pub fn versions_of(&self, model: &str) -> Vec<&str> {
        let residents = self.states.iter().flat_map(|state| &state.models);
        let held = residents.filter(|held| held.model.as_str() == model);
        held.map(|held| held.version.as_str()).collect()
    }
}

fn unloading(open_move: &MoveInProgress) -> Option<Unloading> {
    match &open_move.planned.change {
        MoveChange::Unload(model) => Some(Unloading {
            runner: open_move.planned.runner.clone(),
            model: model.clone(),
        }),
        _ => None,
    }
}
