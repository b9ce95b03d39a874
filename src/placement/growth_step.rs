//! Adds copies of models where they bring enough requests within their target.

use {
    super::{
        home_map,
        load_spread::{CopyChange, LoadSpread},
        planner::Planner,
        relocation::Relocation,
        room::Room,
    },
    std::collections::BTreeSet,
};

/// The maximum number of models that are considered for one further copy.
const MODELS_CONSIDERED_MAX: usize = 8;
/// The maximum number of runners that are considered for a copy, of those with free memory and of
/// those without each.
const RUNNERS_CONSIDERED_MAX: usize = 4;
/// The load of a model's least loaded runner above which a further copy is considered.
const GROWTH_LOAD_MIN: f64 = 0.7;
/// Requests per minute, as a multiple of the weight of a move, from which a model is kept in
/// two data centres.
const HOT_DEMAND_MOVE_WEIGHTS: f64 = 20.0;
/// Seconds in a minute.
const MINUTE_S: f64 = 60.0;

/// A further copy of a model.
struct Candidate {
    model: usize,
    runner: usize,
    method: PlacementMethod,
    gain: f64,
}

/// How a runner gets to hold one more model.
#[derive(Debug, PartialEq)]
enum PlacementMethod {
    /// The runner has room for the copy, or makes room by unloading others.
    Load(Room),
    /// Other models of the runner are loaded elsewhere first.
    Relocate(Vec<Relocation>),
}

impl Planner<'_> {
    /// Adds copies as long as one brings more requests within their target than its moves cost.
    ///
    /// The best copy over all data centres is chosen, so that planners with the same view do not
    /// each add one; only copies on runners of the planned data centre become moves.
    pub fn add_copies(&mut self) {
        let capacity = self.input.tokens_per_accelerator_s;
        let mut spread = LoadSpread::new(&self.fleet, &self.demand, capacity);
        while self.may_load(false) {
            let best = self
                .best_copy(&spread)
                .or_else(|| self.second_data_centre_copy(&spread));
            let Some(best) = best else {
                return;
            };
            let changes = self.changes(&best);
            self.plan_moves(&best);
            spread = spread.changed(&changes, &self.demand);
        }
    }

    /// Returns the further copy with the highest gain, if any gain is positive.
    fn best_copy(&self, spread: &LoadSpread) -> Option<Candidate> {
        let lost_now = spread.lost_per_minute(&self.demand);
        let mut best: Option<Candidate> = None;
        for model in self.models_considered(spread) {
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
    fn gain(&self, candidate: &Candidate, spread: &LoadSpread, lost_now: f64) -> f64 {
        let changes = self.changes(candidate);
        let changed = spread.changed(&changes, &self.demand);
        let lost_then = changed.lost_per_minute(&self.demand);
        let gain = lost_now - lost_then - self.cost(&candidate.method);
        if changes.len() == 1 {
            return gain;
        }
        let without = spread.changed(&changes[1..], &self.demand);
        let weight = self.input.catalog.deployment.move_weight;
        gain.min(without.lost_per_minute(&self.demand) - lost_then - weight)
    }

    /// Returns the models with the most demand among those whose runners have a high load.
    fn models_considered(&self, spread: &LoadSpread) -> Vec<usize> {
        let loaded = |&model: &usize| {
            let load = spread.best_load(model);
            load.is_finite() && load > GROWTH_LOAD_MIN && self.may_add_copy(model)
        };
        let mut models: Vec<usize> = (0..self.demand.len()).filter(loaded).collect();
        models.sort_by(|&a, &b| {
            let rate = |model: usize| self.demand[model].requests_per_s;
            rate(b).total_cmp(&rate(a)).then(a.cmp(&b))
        });
        models.truncate(MODELS_CONSIDERED_MAX);
        models
    }

    /// Returns whether a model has demand and fewer copies than its maximum.
    fn may_add_copy(&self, model: usize) -> bool {
        let name = &self.fleet.catalog.models[model].name;
        let copies_max = home_map::copies_max(self.fleet.catalog, name);
        self.demand[model].tokens_per_s > 0.0 && self.fleet.holders(model).count() < copies_max
    }

    /// Returns the least loaded runners with free memory, and those where room can be made.
    fn candidates(&self, model: usize, spread: &LoadSpread) -> Vec<Candidate> {
        let mut runners: Vec<usize> = (0..self.fleet.runners.len())
            .filter(|&runner| self.fleet.may_host(runner, model))
            .collect();
        runners.sort_by(|&a, &b| {
            let free = |runner: usize| self.fleet.runners[runner].free_mib;
            let by_load = spread.load(a).total_cmp(&spread.load(b));
            by_load.then(free(b).cmp(&free(a))).then(a.cmp(&b))
        });
        let mut candidates = Vec::new();
        let (mut with_room, mut without) = (0, 0);
        for runner in runners {
            let Some(method) = self.placement_method(runner, model) else {
                continue;
            };
            let has_room = method == PlacementMethod::Load(Room::Free);
            let count = if has_room {
                &mut with_room
            } else {
                &mut without
            };
            *count += 1;
            if *count <= RUNNERS_CONSIDERED_MAX {
                candidates.push(Candidate {
                    model,
                    runner,
                    method,
                    gain: 0.0,
                });
            }
            if with_room >= RUNNERS_CONSIDERED_MAX && without >= RUNNERS_CONSIDERED_MAX {
                break;
            }
        }
        candidates
    }

    /// Returns how a runner can get to hold one more model, if it can.
    fn placement_method(&self, runner: usize, model: usize) -> Option<PlacementMethod> {
        let room = self.room(runner, model);
        if let Some(room) = room {
            return Some(PlacementMethod::Load(room));
        }
        if self.has_open_loads(self.runner_data_centres[runner]) {
            return None;
        }
        let projected = &self.fleet.runners[runner];
        let room_mib = projected.free_mib + projected.releasing_mib(self.fleet.catalog);
        let relocations = self.relocations(runner, model, room_mib);
        relocations.map(PlacementMethod::Relocate)
    }

    /// Plans the moves of a candidate.
    fn plan_moves(&mut self, candidate: &Candidate) {
        match &candidate.method {
            PlacementMethod::Load(room) => {
                self.place_copy(candidate.runner, candidate.model, room, false)
            }
            PlacementMethod::Relocate(relocations) => {
                for &(other, target) in relocations {
                    self.place_copy(target, other, &Room::Free, false);
                }
            }
        }
    }

    /// Returns a copy in a second data centre for a hot model that has copies in only one, where
    /// memory is free.
    fn second_data_centre_copy(&self, spread: &LoadSpread) -> Option<Candidate> {
        (0..self.demand.len())
            .filter(|&model| self.is_hot(model) && self.may_add_copy(model))
            .find_map(|model| {
                let data_centres = self.data_centres_of(model);
                if data_centres.len() != 1 {
                    return None;
                }
                let candidates = self.candidates(model, spread).into_iter();
                candidates
                    .filter(|candidate| candidate.method == PlacementMethod::Load(Room::Free))
                    .find(|candidate| {
                        !data_centres.contains(&self.runner_data_centres[candidate.runner])
                    })
            })
    }

    /// Returns whether a model has so much demand that it is kept in two data centres.
    fn is_hot(&self, model: usize) -> bool {
        let weight = self.input.catalog.deployment.move_weight;
        let per_minute = self.demand[model].requests_per_s * MINUTE_S;
        per_minute >= (weight * HOT_DEMAND_MOVE_WEIGHTS).max(1.0)
    }

    /// Returns the data centres that hold a model.
    fn data_centres_of(&self, model: usize) -> BTreeSet<usize> {
        let holders = self.fleet.holders(model);
        holders
            .map(|runner| self.runner_data_centres[runner])
            .collect()
    }

    /// Returns the cost of the moves, in requests per minute.
    fn cost(&self, method: &PlacementMethod) -> f64 {
        let others = match method {
            PlacementMethod::Load(Room::Free | Room::Releasing) => 0,
            PlacementMethod::Load(Room::AfterUnload(victims)) => victims.len(),
            PlacementMethod::Relocate(relocations) => 2 * relocations.len(),
        };
        self.input.catalog.deployment.move_weight * (1 + others) as f64
    }

    /// Returns the copies that a candidate adds and removes once all its moves are done; the
    /// candidate's own copy comes first.
    fn changes(&self, candidate: &Candidate) -> Vec<CopyChange> {
        let runner = candidate.runner;
        let mut changes = vec![CopyChange::added(candidate.model, runner)];
        match &candidate.method {
            PlacementMethod::Load(Room::AfterUnload(victims)) => {
                let copies = &self.fleet.runners[runner].copies;
                let models = victims
                    .iter()
                    .filter_map(|&position| copies[position].model);
                changes.extend(models.map(|model| CopyChange::removed(model, runner)));
            }
            PlacementMethod::Relocate(relocations) => {
                for &(other, target) in relocations {
                    changes.push(CopyChange::added(other, target));
                    changes.push(CopyChange::removed(other, runner));
                }
            }
            PlacementMethod::Load(Room::Free | Room::Releasing) => {}
        }
        changes
    }
}
