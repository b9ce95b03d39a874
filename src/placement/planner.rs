//! Runs the steps of the planner in order.

use {
    super::{
        HomeMap, Plan, PlanInput, load_spread::ModelDemand, projected_fleet::ProjectedFleet,
        room::Room,
    },
    crate::fleet::{Move, MoveChange},
};

/// The maximum number of open loads, as a multiple of those that run at full speed at once.
const OPEN_LOADS_FACTOR: usize = 2;
/// The same maximum for loads that callers wait for.
const URGENT_OPEN_LOADS_FACTOR: usize = 4;

/// Plans the changes on the runners of one data centre.
///
/// Each model keeps its minimum number of copies. The last copy that serves is never unloaded, and
/// a copy that moves is loaded before it is unloaded elsewhere. Any other change is made only if
/// it brings more requests per minute within their target than `Deployment::move_weight` times
/// the loads and unloads that it needs. Under steady demand, repeated planning reaches a state
/// without further changes.
///
/// Only one planner at a time may act on a data centre. Its changes in progress must be included
/// in the residents, the reservations or the models being unloaded.
pub fn plan(input: &PlanInput<'_>) -> Plan {
    let mut planner = Planner::new(input);
    planner.unload_unwanted();
    planner.ensure_minimum_copies();
    planner.add_copies();
    planner.place_adapters();
    planner.finish()
}

/// The state that the planner's steps share.
pub(super) struct Planner<'a> {
    pub input: &'a PlanInput<'a>,
    /// The fleet as it will be once the moves of the plan are done.
    pub fleet: ProjectedFleet<'a>,
    /// The home data centres of each model.
    pub homes: HomeMap,
    /// The data centre of each runner, by index in the catalog.
    pub runner_data_centres: Vec<usize>,
    /// The demand for each of the catalog's models.
    pub demand: Vec<ModelDemand>,
    /// The plan so far.
    pub plan: Plan,
}

impl<'a> Planner<'a> {
    fn new(input: &'a PlanInput<'a>) -> Self {
        let fleet = ProjectedFleet::new(input);
        let homes = HomeMap::new(input.catalog, &fleet.usable_runners());
        let runner_data_centres = input.catalog.runners.iter().map(|runner| {
            let data_centres = &input.catalog.data_centres;
            let found = data_centres
                .binary_search_by(|data_centre| data_centre.name.cmp(&runner.data_centre));
            found.unwrap_or(usize::MAX)
        });
        Self {
            input,
            homes,
            runner_data_centres: runner_data_centres.collect(),
            demand: demand_by_model(input),
            plan: Plan::default(),
            fleet,
        }
    }

    /// Plans a copy of a model on a runner: loads the copy if memory is free, else unloads the
    /// victims so that a later plan can load it.
    pub fn place_copy(&mut self, runner: usize, model: usize, room: &Room, urgent: bool) {
        match room {
            Room::Free => {
                self.fleet.load(runner, model);
                let name = self.fleet.catalog.models[model].name.clone();
                self.push_move(runner, MoveChange::Load(name), urgent);
            }
            Room::Releasing => self.fleet.schedule_load(runner, model),
            Room::AfterUnload(victims) => {
                for &position in victims {
                    self.unload(runner, position, urgent);
                }
                self.fleet.schedule_load(runner, model);
            }
        }
    }

    /// Plans the unload of a copy.
    pub fn unload(&mut self, runner: usize, position: usize, urgent: bool) {
        let projected = &self.fleet.runners[runner];
        let state = projected.state.map(|state| &state.models[position]);
        let name = state.map(|resident| resident.model.clone());
        self.fleet.unload(runner, position);
        if let Some(name) = name {
            self.push_move(runner, MoveChange::Unload(name), urgent);
        }
    }

    /// Adds a move if it is on a runner of the planned data centre.
    pub fn push_move(&mut self, runner: usize, change: MoveChange, urgent: bool) {
        let projected = &self.fleet.runners[runner];
        if projected.in_planned_data_centre {
            self.plan.moves.push(Move {
                runner: projected.runner.name.clone(),
                change,
                urgent,
            });
        }
    }

    /// Returns whether one more load may be open.
    pub fn may_load(&self, urgent: bool) -> bool {
        let factor = if urgent {
            URGENT_OPEN_LOADS_FACTOR
        } else {
            OPEN_LOADS_FACTOR
        };
        let at_once_max = self.input.catalog.deployment.model_loads_at_once_max.max(1);
        self.fleet.open_loads() < at_once_max as usize * factor
    }

    /// Returns the index of the planned data centre.
    pub fn data_centre_index(&self) -> Option<usize> {
        let data_centres = &self.input.catalog.data_centres;
        let planned = self.input.data_centre;
        data_centres
            .binary_search_by(|data_centre| data_centre.name.cmp(planned))
            .ok()
    }

    /// Returns the plan with urgent moves first.
    fn finish(self) -> Plan {
        let mut plan = self.plan;
        plan.moves.sort_by_key(|planned| !planned.urgent);
        plan
    }
}

/// Returns the demand for each of the catalog's models, summed over its adapters.
fn demand_by_model(input: &PlanInput<'_>) -> Vec<ModelDemand> {
    let models = &input.catalog.models;
    let mut demand = vec![ModelDemand::default(); models.len()];
    for rate in input.demand {
        let Ok(model) = models.binary_search_by(|object| object.name.cmp(&rate.model)) else {
            continue;
        };
        demand[model].requests_per_s += rate.requests_per_s;
        demand[model].tokens_per_s += rate.tokens_per_s;
    }
    demand
}
