//! Adds copies of models where they bring enough requests within their target.

use {
    super::{
        home_map,
        load_spread::{CopyChange, Spread},
        planner::Planner,
        relocation::Relocation,
        room::Room,
    },
    std::collections::BTreeSet,
};

/// The maximum number of models that are considered for one further copy.
const MODELS_WEIGHED_MAX: usize = 8;
/// The maximum number of runners that are considered for a copy, of those with free memory and of
/// those without each.
const RUNNERS_WEIGHED_MAX: usize = 4;
/// The load of a model's least loaded runner above which a further copy is considered.
const WEIGHED_LOAD: f64 = 0.7;
/// Requests per minute, as a multiple of the weight of a move, from which a model is kept in
/// two data centres.
const HOT_FACTOR: f64 = 20.0;
/// Seconds in a minute.
const MINUTE_S: f64 = 60.0;

/// A further copy of a model.
struct Candidate {
    model: usize,
    runner: usize,
    way: Way,
    gain: f64,
}

/// How a runner gets to hold one more model.
#[derive(Debug, PartialEq)]
enum Way {
    /// The runner has room for the copy, or makes room by unloading others.
    Take(Room),
    /// Other models of the runner are loaded elsewhere first.
    Relocate(Vec<Relocation>),
}

impl Planner<'_> {
    /// Adds copies as long as one brings more requests within their target than its moves cost.
    ///
    /// The best copy over all data centres is chosen, so that planners with the same view do not
    /// each add one; only copies on runners of the planned data centre become moves.
    pub fn grow(&mut self) {
        let capacity = self.input.tokens_per_accelerator_s;
        let mut spread = Spread::new(&self.image, &self.demand, capacity);
        while self.may_load(false) {
            let best = self
                .best_copy(&spread)
                .or_else(|| self.second_place(&spread));
            let Some(best) = best else {
                return;
            };
            let changes = self.changes(&best);
            self.carry_out(&best);
            spread = spread.changed(&changes, &self.demand);
        }
    }

    /// Returns the further copy with the highest gain, if any gain is positive.
    fn best_copy(&self, spread: &Spread) -> Option<Candidate> {
        let lost_now = spread.lost_per_minute(&self.demand);
        let mut best: Option<Candidate> = None;
        for model in self.models_weighed(spread) {
            for mut candidate in self.candidates(model, spread) {
                candidate.gain = self.gain(&candidate, spread, lost_now);
                let beaten = best
                    .as_ref()
                    .is_some_and(|best| best.gain >= candidate.gain);
                if candidate.gain > 0.0 && !beaten {
                    best = Some(candidate);
                }
            }
        }
        best
    }

    /// Returns the requests per minute that a candidate brings within their target, less the cost
    /// of its moves.
    ///
    /// The copy must also be worth its own load once the copies that it evicts are gone, or the
    /// next plan would load those again in its place.
    fn gain(&self, candidate: &Candidate, spread: &Spread, lost_now: f64) -> f64 {
        let changes = self.changes(candidate);
        let changed = spread.changed(&changes, &self.demand);
        let lost_then = changed.lost_per_minute(&self.demand);
        let gain = lost_now - lost_then - self.cost(&candidate.way);
        if changes.len() == 1 {
            return gain;
        }
        let without = spread.changed(&changes[1..], &self.demand);
        let weight = self.input.catalog.deployment.move_weight;
        gain.min(without.lost_per_minute(&self.demand) - lost_then - weight)
    }

    /// Returns the models with the most demand among those whose runners are loaded.
    fn models_weighed(&self, spread: &Spread) -> Vec<usize> {
        let loaded = |&model: &usize| {
            let load = spread.best_load(model);
            load.is_finite() && load > WEIGHED_LOAD && self.may_grow(model)
        };
        let mut models: Vec<usize> = (0..self.demand.len()).filter(loaded).collect();
        models.sort_by(|&a, &b| {
            let rate = |model: usize| self.demand[model].requests_per_s;
            rate(b).total_cmp(&rate(a)).then(a.cmp(&b))
        });
        models.truncate(MODELS_WEIGHED_MAX);
        models
    }

    /// Returns whether a model has demand and fewer copies than its maximum.
    fn may_grow(&self, model: usize) -> bool {
        let name = &self.image.catalog.models[model].name;
        let copies_max = home_map::copies_max(self.image.catalog, name);
        self.demand[model].tokens_per_s > 0.0 && self.image.holders(model).count() < copies_max
    }

    /// Returns the least loaded runners with free memory, and those where room can be made.
    fn candidates(&self, model: usize, spread: &Spread) -> Vec<Candidate> {
        let mut runners: Vec<usize> = (0..self.image.runners.len())
            .filter(|&runner| self.image.may_take(runner, model))
            .collect();
        runners.sort_by(|&a, &b| {
            let free = |runner: usize| self.image.runners[runner].free_mib;
            let by_load = spread.load(a).total_cmp(&spread.load(b));
            by_load.then(free(b).cmp(&free(a))).then(a.cmp(&b))
        });
        let mut candidates = Vec::new();
        let (mut with_room, mut without) = (0, 0);
        for runner in runners {
            let Some(way) = self.way(runner, model) else {
                continue;
            };
            let has_room = way == Way::Take(Room::Now);
            let count = if has_room {
                &mut with_room
            } else {
                &mut without
            };
            *count += 1;
            if *count <= RUNNERS_WEIGHED_MAX {
                candidates.push(Candidate {
                    model,
                    runner,
                    way,
                    gain: 0.0,
                });
            }
            if with_room >= RUNNERS_WEIGHED_MAX && without >= RUNNERS_WEIGHED_MAX {
                break;
            }
        }
        candidates
    }

    /// Returns how a runner can get to hold one more model, if it can.
    fn way(&self, runner: usize, model: usize) -> Option<Way> {
        let room = self.room(runner, model);
        if let Some(room) = room {
            return Some(Way::Take(room));
        }
        if self.loads_in(self.places[runner]) {
            return None;
        }
        let image = &self.image.runners[runner];
        let room_mib = image.free_mib + image.coming_mib(self.image.catalog);
        let relocations = self.relocations(runner, model, room_mib);
        relocations.map(Way::Relocate)
    }

    /// Plans the moves of a candidate.
    fn carry_out(&mut self, candidate: &Candidate) {
        match &candidate.way {
            Way::Take(room) => self.take_up(candidate.runner, candidate.model, room, false),
            Way::Relocate(relocations) => {
                for &(other, target) in relocations {
                    self.take_up(target, other, &Room::Now, false);
                }
            }
        }
    }

    /// Returns a copy in a second data centre for a hot model that has copies in only one, where
    /// memory is free.
    fn second_place(&self, spread: &Spread) -> Option<Candidate> {
        (0..self.demand.len())
            .filter(|&model| self.is_hot(model) && self.may_grow(model))
            .find_map(|model| {
                let places = self.places_of(model);
                if places.len() != 1 {
                    return None;
                }
                let candidates = self.candidates(model, spread).into_iter();
                candidates
                    .filter(|candidate| candidate.way == Way::Take(Room::Now))
                    .find(|candidate| !places.contains(&self.places[candidate.runner]))
            })
    }

    /// Returns whether a model has so much demand that it is kept in two data centres.
    fn is_hot(&self, model: usize) -> bool {
        let weight = self.input.catalog.deployment.move_weight;
        let per_minute = self.demand[model].requests_per_s * MINUTE_S;
        per_minute >= (weight * HOT_FACTOR).max(1.0)
    }

    /// Returns the data centres that hold a model.
    fn places_of(&self, model: usize) -> BTreeSet<usize> {
        let holders = self.image.holders(model);
        holders.map(|runner| self.places[runner]).collect()
    }

    /// Returns the cost of the moves, in requests per minute.
    fn cost(&self, way: &Way) -> f64 {
        let others = match way {
            Way::Take(Room::Now | Room::Coming) => 0,
            Way::Take(Room::After(victims)) => victims.len(),
            Way::Relocate(relocations) => 2 * relocations.len(),
        };
        self.input.catalog.deployment.move_weight * (1 + others) as f64
    }

    /// Returns the copies that a candidate adds and removes once all its moves are done; the
    /// candidate's own copy comes first.
    fn changes(&self, candidate: &Candidate) -> Vec<CopyChange> {
        let runner = candidate.runner;
        let mut changes = vec![CopyChange::added(candidate.model, runner)];
        match &candidate.way {
            Way::Take(Room::After(victims)) => {
                let copies = &self.image.runners[runner].copies;
                let models = victims
                    .iter()
                    .filter_map(|&position| copies[position].model);
                changes.extend(models.map(|model| CopyChange::removed(model, runner)));
            }
            Way::Relocate(relocations) => {
                for &(other, target) in relocations {
                    changes.push(CopyChange::added(other, target));
                    changes.push(CopyChange::removed(other, runner));
                }
            }
            Way::Take(Room::Now | Room::Coming) => {}
        }
        changes
    }
}
