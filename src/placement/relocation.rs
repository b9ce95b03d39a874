//! Finds copies to load on other runners so that a model gets room on a runner.

use super::planner::Planner;

/// A model and the runner on which a copy of it is loaded.
pub(super) type Relocation = (usize, usize);

impl Planner<'_> {
    /// Returns last copies on `runner` to load elsewhere in its data centre so that a model gets
    /// room, in ascending order of demand; `room_mib` is the room without any relocation.
    pub fn relocations(
        &self,
        runner: usize,
        model: usize,
        mut room_mib: u64,
    ) -> Option<Vec<Relocation>> {
        let size_mib = self.fleet.size_mib(model);
        let mut fleet = self.fleet.clone();
        let mut relocations = Vec::new();
        for other in self.models_with_last_copy(runner) {
            if room_mib >= size_mib {
                break;
            }
            let other_mib = self.fleet.size_mib(other);
            let target = (0..fleet.runners.len()).find(|&target| {
                target != runner
                    && self.runner_data_centres[target] == self.runner_data_centres[runner]
                    && fleet.may_host(target, other)
                    && fleet.runners[target].free_mib >= other_mib
            });
            if let Some(target) = target {
                fleet.load(target, other);
                relocations.push((other, target));
                room_mib += other_mib;
            }
        }
        (room_mib >= size_mib && !relocations.is_empty()).then_some(relocations)
    }

    /// Returns the models whose only copy is on a runner, in ascending order of demand.
    fn models_with_last_copy(&self, runner: usize) -> Vec<usize> {
        let copies = self.fleet.runners[runner].copies.iter();
        let ready = copies.filter(|copy| copy.ready && !copy.unloading);
        let mut models: Vec<usize> = ready
            .filter_map(|copy| copy.model)
            .filter(|&model| self.fleet.holders(model).count() <= 1)
            .collect();
        models.sort_by(|&a, &b| {
            let rate = |model: usize| self.demand[model].tokens_per_s;
            rate(a).total_cmp(&rate(b)).then(a.cmp(&b))
        });
        models
    }

    /// Returns whether a data centre has open loads, of this plan or earlier ones.
    pub fn has_open_loads(&self, data_centre: usize) -> bool {
        let runners = self.fleet.runners.iter().zip(&self.runner_data_centres);
        let mut here = runners.filter(|(projected, at)| projected.usable && **at == data_centre);
        here.any(|(projected, _)| {
            let loading = projected
                .copies
                .iter()
                .any(|copy| !copy.ready && !copy.unloading);
            loading || !projected.loads.is_empty()
        })
    }
}
