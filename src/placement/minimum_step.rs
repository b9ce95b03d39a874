//! Ensures the configured minimum number of copies of each model.

use super::{home_map, planner::Planner, room::Room};

impl Planner<'_> {
    /// Plans the missing copies of the models whose home is the planned data centre, first of
    /// those that no runner serves.
    pub fn ensure_minimum_copies(&mut self) {
        let Some(data_centre) = self.data_centre_index() else {
            return;
        };
        let mut lacking: Vec<(bool, usize)> = (0..self.demand.len())
            .filter(|&model| self.needs_copy_here(model, data_centre))
            .map(|model| (self.fleet.ready_holders(model).next().is_some(), model))
            .collect();
        lacking.sort_by(|a, b| {
            let rate = |model: usize| self.demand[model].requests_per_s;
            let by_rate = rate(b.1).total_cmp(&rate(a.1));
            a.0.cmp(&b.0).then(by_rate).then(a.1.cmp(&b.1))
        });
        let mut without_room = Vec::new();
        for (served, model) in lacking {
            if self.may_load(!served) && !self.place_on_best_runner(model, data_centre, !served) {
                without_room.push(model);
            }
        }
        for model in without_room {
            self.relocate_to_make_room(model, data_centre);
            let name = self.fleet.catalog.models[model].name.clone();
            self.plan.unplaced.push(name);
        }
    }

    /// Returns whether a model has too few copies, and fewer in a data centre than it has homes
    /// there.
    fn needs_copy_here(&self, model: usize, data_centre: usize) -> bool {
        let name = &self.fleet.catalog.models[model].name;
        let required = home_map::copies_min(self.fleet.catalog, name);
        let holders: Vec<usize> = self.fleet.holders(model).collect();
        if holders.len() >= required {
            return false;
        }
        let count = |runners: &[usize]| {
            let here = runners
                .iter()
                .filter(|&&runner| self.runner_data_centres[runner] == data_centre);
            here.count()
        };
        let homes = self.homes.homes_of_index(model);
        let required_here = homes.iter().filter(|&&home| home == data_centre).count();
        count(&holders) < required_here
    }

    /// Plans a copy on the best runner of a data centre: the one that needs the fewest unloads,
    /// then the one with the largest share of free memory. Returns whether there was one.
    fn place_on_best_runner(&mut self, model: usize, data_centre: usize, urgent: bool) -> bool {
        let runners = 0..self.fleet.runners.len();
        let here = runners.filter(|&runner| self.runner_data_centres[runner] == data_centre);
        let best = here
            .filter(|&runner| self.fleet.may_host(runner, model))
            .filter_map(|runner| Some((self.room(runner, model)?, runner)))
            .min_by(|a, b| {
                let free = |runner: usize| self.fleet.runners[runner].free_share();
                let by_room = room_rank(&a.0).cmp(&room_rank(&b.0));
                by_room.then(free(b.1).total_cmp(&free(a.1)))
            });
        let Some((room, runner)) = best else {
            return false;
        };
        self.place_copy(runner, model, &room, urgent);
        true
    }

    /// Makes room by loading the last copies of other models elsewhere; once those serve, a later
    /// plan can unload the originals.
    fn relocate_to_make_room(&mut self, model: usize, data_centre: usize) {
        if self.has_open_loads(data_centre) {
            return;
        }
        let runners = (0..self.fleet.runners.len())
            .filter(|&runner| self.runner_data_centres[runner] == data_centre);
        let relocations = runners
            .filter(|&runner| self.fleet.may_host(runner, model))
            .find_map(|runner| {
                let room_mib = self.room_at_most_mib(runner);
                self.relocations(runner, model, room_mib)
            });
        for (other, target) in relocations.unwrap_or_default() {
            self.place_copy(target, other, &Room::Free, true);
        }
    }
}

/// Returns the rank of a kind of room: free memory, memory being released, then by the number of
/// unloads.
fn room_rank(room: &Room) -> usize {
    match room {
        Room::Free => 0,
        Room::Releasing => 1,
        Room::AfterUnload(victims) => 1 + victims.len(),
    }
}
