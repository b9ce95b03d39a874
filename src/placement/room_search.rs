//! Finds room for a copy on a runner, and the copies that may be unloaded to make room.

use super::{home_map, planner::Planner, room::Room};

impl Planner<'_> {
    /// Returns the room for a copy of a model on a runner, or `None` if there can be none.
    pub fn room(&self, runner: usize, model: usize) -> Option<Room> {
        let projected = &self.fleet.runners[runner];
        let size_mib = self.fleet.size_mib(model);
        if projected.free_mib >= size_mib {
            return Some(Room::Free);
        }
        let mut room_mib = projected.free_mib + projected.releasing_mib(self.fleet.catalog);
        if room_mib >= size_mib {
            return Some(Room::Releasing);
        }
        let mut victims = Vec::new();
        for (position, size) in self.victims(runner) {
            victims.push(position);
            room_mib += size;
            if room_mib >= size_mib {
                return Some(Room::AfterUnload(victims));
            }
        }
        None
    }

    /// Returns the memory of a runner that is free, is being released or may be released.
    pub fn room_at_most_mib(&self, runner: usize) -> u64 {
        let projected = &self.fleet.runners[runner];
        let victims: u64 = self.victims(runner).iter().map(|(_, size)| size).sum();
        projected.free_mib + projected.releasing_mib(self.fleet.catalog) + victims
    }

    /// Returns whether a copy may be unloaded.
    ///
    /// A copy may be unloaded only while another one serves in the same data centre, or in a data
    /// centre that ranks higher for the model. This keeps planners that act at the same time on
    /// outdated views from unloading the last copies between them.
    pub fn may_unload(&self, runner: usize, position: usize) -> bool {
        let copy = self.fleet.runners[runner].copies[position];
        let Some(model) = copy.model else {
            return !copy.unloading;
        };
        if !copy.ready || copy.unloading {
            return false;
        }
        let data_centre = self.runner_data_centres[runner];
        let rank = self.homes.rank(model, data_centre);
        let mut others = 0;
        let mut backed = false;
        for other in self.fleet.ready_holders(model) {
            if other == runner {
                continue;
            }
            others += 1;
            let elsewhere = self.runner_data_centres[other];
            backed |= elsewhere == data_centre || self.homes.rank(model, elsewhere) < rank;
        }
        let name = &self.fleet.catalog.models[model].name;
        backed && others >= home_map::copies_min(self.fleet.catalog, name)
    }

    /// Returns the positions and sizes of the copies on a runner that may be unloaded, in
    /// ascending order of demand per copy.
    fn victims(&self, runner: usize) -> Vec<(usize, u64)> {
        let copies = self.fleet.runners[runner].copies.iter().enumerate();
        let mut victims: Vec<_> = copies
            .filter(|(position, _)| self.may_unload(runner, *position))
            .filter_map(|(position, copy)| Some((position, copy.model?)))
            .collect();
        victims.sort_by(|a, b| {
            let share = |model: usize| {
                let holders = self.fleet.ready_holders(model).count().max(1);
                self.demand[model].tokens_per_s / holders as f64
            };
            share(a.1).total_cmp(&share(b.1)).then(a.cmp(b))
        });
        victims
            .into_iter()
            .map(|(position, model)| (position, self.fleet.size_mib(model)))
            .collect()
    }
}
