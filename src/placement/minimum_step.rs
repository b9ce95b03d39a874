//! Ensures the configured minimum number of copies of each model.

use super::{home_map, planner::Planner, room::Room};

impl Planner<'_> {
    /// Plans the missing copies of the models whose home is the planned data centre, first of
    /// those that no runner serves.
    pub fn keep_minimum(&mut self) {
        let Some(place) = self.place() else {
            return;
        };
        let mut lacking: Vec<(bool, usize)> = (0..self.demand.len())
            .filter(|&model| self.lacks_here(model, place))
            .map(|model| (self.image.ready_holders(model).next().is_some(), model))
            .collect();
        lacking.sort_by(|a, b| {
            let rate = |model: usize| self.demand[model].requests_per_s;
            let by_rate = rate(b.1).total_cmp(&rate(a.1));
            a.0.cmp(&b.0).then(by_rate).then(a.1.cmp(&b.1))
        });
        let mut without_room = Vec::new();
        for (served, model) in lacking {
            if self.may_load(!served) && !self.take_up_best(model, place, !served) {
                without_room.push(model);
            }
        }
        for model in without_room {
            self.relocate_for(model, place);
            let name = self.image.catalog.models[model].name.clone();
            self.plan.unplaced.push(name);
        }
    }

    /// Returns whether a model has too few copies, and fewer in a data centre than it has homes
    /// there.
    fn lacks_here(&self, model: usize, place: usize) -> bool {
        let name = &self.image.catalog.models[model].name;
        let wanted = home_map::copies_min(self.image.catalog, name);
        let holders: Vec<usize> = self.image.holders(model).collect();
        if holders.len() >= wanted {
            return false;
        }
        let count = |runners: &[usize]| {
            let here = runners
                .iter()
                .filter(|&&runner| self.places[runner] == place);
            here.count()
        };
        let homes = self.homes.by_index(model);
        let wanted_here = homes.iter().filter(|&&home| home == place).count();
        count(&holders) < wanted_here
    }

    /// Plans a copy on the best runner of a data centre: the one that needs the fewest unloads,
    /// then the one with the largest share of free memory. Returns whether there was one.
    fn take_up_best(&mut self, model: usize, place: usize, urgent: bool) -> bool {
        let runners = 0..self.image.runners.len();
        let here = runners.filter(|&runner| self.places[runner] == place);
        let best = here
            .filter(|&runner| self.image.may_take(runner, model))
            .filter_map(|runner| Some((self.room(runner, model)?, runner)))
            .min_by(|a, b| {
                let free = |runner: usize| self.image.runners[runner].free_share();
                let by_room = unloads(&a.0).cmp(&unloads(&b.0));
                by_room.then(free(b.1).total_cmp(&free(a.1)))
            });
        let Some((room, runner)) = best else {
            return false;
        };
        self.take_up(runner, model, &room, urgent);
        true
    }

    /// Makes room by loading the last copies of other models elsewhere; once those serve, a later
    /// plan can unload the originals.
    fn relocate_for(&mut self, model: usize, place: usize) {
        if self.loads_in(place) {
            return;
        }
        let runners = (0..self.image.runners.len()).filter(|&runner| self.places[runner] == place);
        let relocations = runners
            .filter(|&runner| self.image.may_take(runner, model))
            .find_map(|runner| {
                let room_mib = self.room_at_most_mib(runner);
                self.relocations(runner, model, room_mib)
            });
        for (other, target) in relocations.unwrap_or_default() {
            self.take_up(target, other, &Room::Now, true);
        }
    }
}

/// Returns the rank of a kind of room: free memory, memory being released, then by the number of
/// unloads.
fn unloads(room: &Room) -> usize {
    match room {
        Room::Now => 0,
        Room::Coming => 1,
        Room::After(victims) => 1 + victims.len(),
    }
}
