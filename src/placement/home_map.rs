//! Assigns home data centres to each model.

use {
    crate::{
        config::{Catalog, Model},
        routing::{stable_hash, weighted_rendezvous_score},
        units::{DataCentreName, ModelName},
    },
    std::cmp::Reverse,
};

/// The share of a data centre's memory that homes may use; the rest is left for fragmentation.
const FILL_MAX: f64 = 0.9;

/// The home data centres of each model, one per copy that is always kept.
///
/// All processes with the same configuration and the same live runners compute the same homes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeMap {
    /// The homes of each of the catalog's models, as indexes of data centres in the catalog.
    homes: Vec<Vec<usize>>,
    /// The data centres that each model may use, in descending order of preference.
    ranks: Vec<Vec<usize>>,
}

/// The memory of one data centre for models.
struct Capacity {
    configured_mib: f64,
    free_mib: f64,
    largest_mib: u64,
    /// The memory of each live runner that a first-fit packing of the homes so far leaves free.
    left_mib: Vec<u64>,
}

impl Capacity {
    fn has_runner_for(&self, size_mib: u64) -> bool {
        self.left_mib.iter().any(|&left| left >= size_mib)
    }

    fn has_room_for(&self, size_mib: u64) -> bool {
        self.free_mib >= size_mib as f64 && self.has_runner_for(size_mib)
    }

    fn take(&mut self, size_mib: u64) {
        self.free_mib -= size_mib as f64;
        let first = self.left_mib.iter_mut().find(|left| **left >= size_mib);
        if let Some(left) = first {
            *left -= size_mib;
        }
    }
}

impl HomeMap {
    /// Computes the homes; `live` has for each of the catalog's runners whether it is usable.
    pub fn new(catalog: &Catalog, live: &[bool]) -> Self {
        let mut capacities = capacities(catalog, live);
        let mut order: Vec<usize> = (0..catalog.models.len()).collect();
        order.sort_by_key(|&index| Reverse(catalog.models[index].memory_mib));
        let models = catalog.models.iter();
        let ranks: Vec<_> = models
            .map(|model| ranked_places(catalog, model, &capacities))
            .collect();
        let mut homes = vec![Vec::new(); catalog.models.len()];
        for index in order {
            let model = &catalog.models[index];
            homes[index] = homes_of(catalog, model, &ranks[index], &mut capacities);
        }
        Self { homes, ranks }
    }

    /// Returns the home of each copy of a model that is always kept; none for an unknown model.
    pub fn homes<'a>(
        &'a self,
        catalog: &'a Catalog,
        model: &ModelName,
    ) -> impl Iterator<Item = &'a DataCentreName> {
        let models = &catalog.models;
        let found = models.binary_search_by(|object| object.name.cmp(model));
        let homes = found.map(|index| self.homes[index].as_slice());
        homes
            .unwrap_or_default()
            .iter()
            .map(|&index| &catalog.data_centres[index].name)
    }

    /// Returns the homes of the model at an index in the catalog.
    pub(super) fn by_index(&self, model: usize) -> &[usize] {
        &self.homes[model]
    }

    /// Returns the rank of a data centre for a model, which does not depend on live runners.
    pub(super) fn rank(&self, model: usize, place: usize) -> usize {
        let ranks = &self.ranks[model];
        let found = ranks.iter().position(|&other| other == place);
        found.unwrap_or(ranks.len() + place)
    }
}

/// Returns the number of copies of a model that are always kept.
pub(super) fn copies_min(catalog: &Catalog, model: &ModelName) -> usize {
    let placements = catalog.placements_of(model).iter();
    let wanted = placements.map(|placement| placement.copies_min).max();
    wanted.unwrap_or(1).max(1) as usize
}

/// Returns the maximum number of copies of a model.
pub(super) fn copies_max(catalog: &Catalog, model: &ModelName) -> usize {
    let placements = catalog.placements_of(model).iter();
    let allowed = placements.map(|placement| placement.copies_max).max();
    let allowed = allowed.map_or(usize::MAX, |copies| copies as usize);
    allowed.max(copies_min(catalog, model))
}

/// Returns whether a data centre may hold copies of a model.
pub(super) fn is_allowed(catalog: &Catalog, model: &ModelName, place: &DataCentreName) -> bool {
    let placements = catalog.placements_of(model);
    placements.is_empty()
        || placements.iter().any(|placement| {
            placement.data_centres.is_empty() || placement.data_centres.contains(place)
        })
}

/// Returns the memory of each of the catalog's data centres.
fn capacities(catalog: &Catalog, live: &[bool]) -> Vec<Capacity> {
    let capacity = |place: &DataCentreName| {
        let runners = catalog.runners.iter().zip(live);
        let here = runners.filter(|(runner, _)| runner.data_centre == *place);
        let mut capacity = Capacity {
            configured_mib: 0.0,
            free_mib: 0.0,
            largest_mib: 0,
            left_mib: Vec::new(),
        };
        for (runner, &live) in here {
            let memory = runner.model_memory_mib().0;
            capacity.configured_mib += memory as f64;
            if live {
                capacity.free_mib += memory as f64 * FILL_MAX;
                capacity.largest_mib = capacity.largest_mib.max(memory);
                capacity.left_mib.push(memory);
            }
        }
        capacity
    };
    let places = catalog.data_centres.iter();
    places.map(|place| capacity(&place.name)).collect()
}

/// Chooses the homes of a model: for each copy the first data centre in `order` with room that is
/// not a home yet, else one with room, else one that the model fits in if it were empty.
fn homes_of(
    catalog: &Catalog,
    model: &Model,
    order: &[usize],
    capacities: &mut [Capacity],
) -> Vec<usize> {
    let size_mib = model.memory_mib.0;
    let mut homes: Vec<usize> = Vec::new();
    for copy in 0..copies_min(catalog, &model.name) {
        let fits = |&&place: &&usize| capacities[place].has_room_for(size_mib);
        let has_runner = |&&place: &&usize| capacities[place].has_runner_for(size_mib);
        let fresh = order
            .iter()
            .find(|place| fits(place) && !homes.contains(place));
        let any_live = |&&place: &&usize| capacities[place].largest_mib >= size_mib;
        let chosen = fresh
            .or_else(|| order.iter().find(fits))
            .or_else(|| order.iter().find(has_runner))
            .or_else(|| order.iter().filter(any_live).nth(copy))
            .or_else(|| order.iter().find(any_live))
            .or_else(|| order.first());
        let Some(&chosen) = chosen else {
            break;
        };
        capacities[chosen].take(size_mib);
        homes.push(chosen);
    }
    homes
}

/// Returns the data centres that may hold a model, best rendezvous score first.
fn ranked_places(catalog: &Catalog, model: &Model, capacities: &[Capacity]) -> Vec<usize> {
    let key = stable_hash(model.name.as_str());
    let places = catalog.data_centres.iter().enumerate();
    let mut scored: Vec<(f64, usize)> = places
        .filter(|(_, place)| is_allowed(catalog, &model.name, &place.name))
        .map(|(index, place)| {
            let weight = capacities[index].configured_mib;
            let score = weighted_rendezvous_score(key, place.name.as_str(), weight);
            (score, index)
        })
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, index)| index).collect()
}
