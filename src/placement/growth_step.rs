//! Adds copies where they win enough answers.

use {
    super::{home_map, planner::Planner, room::Room, spread::Spread},
    std::collections::BTreeSet,
};

/// Models that are weighed for one more copy.
const MODELS_WEIGHED_MAX: usize = 8;
/// Runners that are weighed for a copy, of those with room and of those without.
const RUNNERS_WEIGHED_MAX: usize = 4;
/// The load of a model's least loaded runner above which a copy is weighed.
const WEIGHED_LOAD: f64 = 0.7;
/// Requests per minute, as a multiple of the weight of a move, from which a model is kept in
/// two data centres.
const HOT_FACTOR: f64 = 20.0;
/// Seconds in a minute.
const MINUTE_S: f64 = 60.0;

struct Candidate {
    model: usize,
    runner: usize,
    room: Room,
    gain: f64,
}

impl Planner<'_> {
    /// Adds copies as long as one wins more answers than its moves cost.
    ///
    /// The best copy of all data centres is looked for, so that planners with the same view do
    /// not each add one; only those on this data centre's runners become moves.
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
            self.take_up(best.runner, best.model, &best.room, false);
            spread = spread.changed(&changes, &self.demand);
        }
    }

    fn best_copy(&self, spread: &Spread) -> Option<Candidate> {
        let lost_now = spread.lost_per_minute(&self.demand);
        let mut best: Option<Candidate> = None;
        for model in self.models_weighed(spread) {
            for mut candidate in self.candidates(model, spread) {
                let changed = spread.changed(&self.changes(&candidate), &self.demand);
                let won = lost_now - changed.lost_per_minute(&self.demand);
                candidate.gain = won - self.cost(&candidate.room);
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

    fn may_grow(&self, model: usize) -> bool {
        let name = &self.image.catalog.models[model].name;
        let copies_max = home_map::copies_max(self.image.catalog, name);
        self.demand[model].tokens_per_s > 0.0 && self.image.holders(model).count() < copies_max
    }

    /// Returns the least loaded runners with room, and those where room can be made.
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
            let Some(room) = self.room(runner, model) else {
                continue;
            };
            if self.takes_second_place(runner, &room) {
                continue;
            }
            let count = if room == Room::Now {
                &mut with_room
            } else {
                &mut without
            };
            *count += 1;
            if *count <= RUNNERS_WEIGHED_MAX {
                candidates.push(Candidate {
                    model,
                    runner,
                    room,
                    gain: 0.0,
                });
            }
            if with_room >= RUNNERS_WEIGHED_MAX && without >= RUNNERS_WEIGHED_MAX {
                break;
            }
        }
        candidates
    }

    /// Finds free room in a second data centre for a hot model with copies in one.
    fn second_place(&self, spread: &Spread) -> Option<Candidate> {
        (0..self.demand.len())
            .filter(|&model| self.is_hot(model) && self.may_grow(model))
            .find_map(|model| {
                let places = self.places_of(model, None);
                if places.len() != 1 {
                    return None;
                }
                let candidates = self.candidates(model, spread).into_iter();
                candidates
                    .filter(|candidate| candidate.room == Room::Now)
                    .find(|candidate| !places.contains(&self.places[candidate.runner]))
            })
    }

    /// Tells whether making this room would leave a hot model in one data centre.
    fn takes_second_place(&self, runner: usize, room: &Room) -> bool {
        let Room::After(victims) = room else {
            return false;
        };
        let copies = &self.image.runners[runner].copies;
        let models = victims
            .iter()
            .filter_map(|&position| copies[position].model);
        models
            .filter(|&model| self.is_hot(model))
            .any(|model| self.places_of(model, Some(runner)).len() < 2)
    }

    /// Tells whether a model has so many callers that it is kept in two data centres.
    fn is_hot(&self, model: usize) -> bool {
        let weight = self.input.catalog.deployment.move_weight;
        let per_minute = self.demand[model].requests_per_s * MINUTE_S;
        per_minute >= (weight * HOT_FACTOR).max(1.0)
    }

    /// Returns the data centres that hold a model, one runner left out.
    fn places_of(&self, model: usize, without: Option<usize>) -> BTreeSet<usize> {
        let holders = self.image.holders(model);
        let others = holders.filter(|&runner| Some(runner) != without);
        others.map(|runner| self.places[runner]).collect()
    }

    fn cost(&self, room: &Room) -> f64 {
        let unloads = match room {
            Room::Now | Room::Coming => 0,
            Room::After(victims) => victims.len(),
        };
        self.input.catalog.deployment.move_weight * (1 + unloads) as f64
    }

    /// Returns the copies that a candidate adds and removes.
    fn changes(&self, candidate: &Candidate) -> Vec<(usize, usize, bool)> {
        let mut changes = vec![(candidate.model, candidate.runner, true)];
        if let Room::After(victims) = &candidate.room {
            let copies = &self.image.runners[candidate.runner].copies;
            let models = victims
                .iter()
                .filter_map(|&position| copies[position].model);
            changes.extend(models.map(|model| (model, candidate.runner, false)));
        }
        changes
    }
}
