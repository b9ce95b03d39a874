//! Plans unloads of copies that the configuration no longer calls for.

use super::{home_map, planner::Planner};

impl Planner<'_> {
    /// Plans unloads of models that are no longer configured, copies in data centres that are no
    /// longer allowed, replaced copies of old versions, and copies above the configured maximum.
    pub fn unload_unwanted(&mut self) {
        for runner in 0..self.fleet.runners.len() {
            let projected = &self.fleet.runners[runner];
            if !projected.in_planned_data_centre || !projected.usable {
                continue;
            }
            for position in 0..projected.copies.len() {
                if self.is_unwanted(runner, position) && self.may_unload(runner, position) {
                    self.unload(runner, position, false);
                }
            }
        }
    }

    /// Returns whether the configuration no longer calls for a copy.
    fn is_unwanted(&self, runner: usize, position: usize) -> bool {
        let projected = &self.fleet.runners[runner];
        let copy = projected.copies[position];
        let Some(model) = copy.model else {
            return true;
        };
        let catalog = self.fleet.catalog;
        let name = &catalog.models[model].name;
        if !home_map::is_allowed(catalog, name, &projected.runner.data_centre) {
            return true;
        }
        if !copy.current {
            return self.is_replaced(model, runner);
        }
        self.fleet.holders(model).count() > home_map::copies_max(catalog, name)
    }

    /// Returns whether a copy of an old version can be unloaded: a copy of the current version
    /// serves, or no other runner can take one before this copy is unloaded. Copies of old
    /// versions are unloaded one at a time, and none while a current one is being loaded.
    fn is_replaced(&self, model: usize, runner: usize) -> bool {
        let usable = self
            .fleet
            .runners
            .iter()
            .filter(|projected| projected.usable);
        let copies = usable
            .flat_map(|projected| projected.copies.iter())
            .filter(|copy| copy.model == Some(model));
        let mut replaced = false;
        for copy in copies {
            if copy.unloading || copy.current && !copy.ready {
                return false;
            }
            replaced |= copy.current;
        }
        replaced || !self.can_replace_elsewhere(model, runner)
    }

    /// Returns whether another runner holds, loads or has room for a copy of the current version.
    fn can_replace_elsewhere(&self, model: usize, runner: usize) -> bool {
        (0..self.fleet.runners.len()).any(|other| {
            other != runner
                && (self.fleet.runners[other].will_serve(model)
                    || self.fleet.may_host(other, model) && self.room(other, model).is_some())
        })
    }
}
