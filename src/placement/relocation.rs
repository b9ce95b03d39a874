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
        let size_mib = self.image.size_mib(model);
        let mut image = self.image.clone();
        let mut relocations = Vec::new();
        for other in self.last_copies(runner) {
            if room_mib >= size_mib {
                break;
            }
            let other_mib = self.image.size_mib(other);
            let target = (0..image.runners.len()).find(|&target| {
                target != runner
                    && self.places[target] == self.places[runner]
                    && image.may_take(target, other)
                    && image.runners[target].free_mib >= other_mib
            });
            if let Some(target) = target {
                image.load(target, other);
                relocations.push((other, target));
                room_mib += other_mib;
            }
        }
        (room_mib >= size_mib && !relocations.is_empty()).then_some(relocations)
    }

    /// Returns the models whose only copy is on a runner, in ascending order of demand.
    fn last_copies(&self, runner: usize) -> Vec<usize> {
        let copies = self.image.runners[runner].copies.iter();
        let ready = copies.filter(|copy| copy.ready && !copy.dropped);
        let mut models: Vec<usize> = ready
            .filter_map(|copy| copy.model)
            .filter(|&model| self.image.holders(model).count() <= 1)
            .collect();
        models.sort_by(|&a, &b| {
            let rate = |model: usize| self.demand[model].tokens_per_s;
            rate(a).total_cmp(&rate(b)).then(a.cmp(&b))
        });
        models
    }

    /// Returns whether a data centre has open loads, of this plan or earlier ones.
    pub fn loads_in(&self, place: usize) -> bool {
        let runners = self.image.runners.iter().zip(&self.places);
        let mut here = runners.filter(|(image, at)| image.usable && **at == place);
        here.any(|(image, _)| {
            let loading = image.copies.iter().any(|copy| !copy.ready && !copy.dropped);
            loading || !image.loads.is_empty()
        })
    }
}
