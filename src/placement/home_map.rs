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
const HOME_MEMORY_SHARE_MAX: f64 = 0.9;

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
struct DataCentreMemory {
    configured_mib: f64,
    free_mib: f64,
    largest_mib: u64,
    /// The memory of each live runner that a first-fit packing of the homes so far leaves free.
    unallocated_mib: Vec<u64>,
}

impl DataCentreMemory {
    /// Returns whether a live runner has unallocated memory for a copy of this size.
    fn has_runner_for(&self, size_mib: u64) -> bool {
        self.unallocated_mib
            .iter()
            .any(|&unallocated| unallocated >= size_mib)
    }

    /// Returns whether a copy of this size fits within the share of memory for homes.
    fn has_room_for(&self, size_mib: u64) -> bool {
        self.free_mib >= size_mib as f64 && self.has_runner_for(size_mib)
    }

    /// Allocates memory for a copy on the first runner where it fits.
    fn allocate(&mut self, size_mib: u64) {
        self.free_mib -= size_mib as f64;
        let first = self
            .unallocated_mib
            .iter_mut()
            .find(|unallocated| **unallocated >= size_mib);
        if let Some(unallocated) = first {
            *unallocated -= size_mib;
        }
    }
}

impl HomeMap {
    /// Computes the homes; `live` has for each of the catalog's runners whether it is usable.
    pub fn new(catalog: &Catalog, live: &[bool]) -> Self {
        let mut memories = memories(catalog, live);
        let mut order: Vec<usize> = (0..catalog.models.len()).collect();
        order.sort_by_key(|&index| Reverse(catalog.models[index].memory_mib));
        let models = catalog.models.iter();
        let ranks: Vec<_> = models
            .map(|model| ranked_data_centres(catalog, model, &memories))
            .collect();
        let mut homes = vec![Vec::new(); catalog.models.len()];
        for index in order {
            let model = &catalog.models[index];
            homes[index] = homes_of(catalog, model, &ranks[index], &mut memories);
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
    pub(super) fn homes_of_index(&self, model: usize) -> &[usize] {
        &self.homes[model]
    }

    /// Returns the rank of a data centre for a model, which does not depend on live runners.
    pub(super) fn rank(&self, model: usize, data_centre: usize) -> usize {
        let ranks = &self.ranks[model];
        let found = ranks.iter().position(|&other| other == data_centre);
        found.unwrap_or(ranks.len() + data_centre)
    }
}

/// Returns the number of copies of a model that are always kept.
pub(super) fn copies_min(catalog: &Catalog, model: &ModelName) -> usize {
    let placements = catalog.placements_of(model).iter();
    let required = placements.map(|placement| placement.copies_min).max();
    required.unwrap_or(1).max(1) as usize
}

/// Returns the maximum number of copies of a model.
pub(super) fn copies_max(catalog: &Catalog, model: &ModelName) -> usize {
    let placements = catalog.placements_of(model).iter();
    let allowed = placements.map(|placement| placement.copies_max).max();
    let allowed = allowed.map_or(usize::MAX, |copies| copies as usize);
    allowed.max(copies_min(catalog, model))
}

/// Returns whether a data centre may hold copies of a model.
pub(super) fn is_allowed(
    catalog: &Catalog,
    model: &ModelName,
    data_centre: &DataCentreName,
) -> bool {
    let placements = catalog.placements_of(model);
    placements.is_empty()
        || placements.iter().any(|placement| {
            placement.data_centres.is_empty() || placement.data_centres.contains(data_centre)
        })
}

/// Returns the memory of each of the catalog's data centres.
fn memories(catalog: &Catalog, live: &[bool]) -> Vec<DataCentreMemory> {
    let memory_of = |data_centre: &DataCentreName| {
        let runners = catalog.runners.iter().zip(live);
        let here = runners.filter(|(runner, _)| runner.data_centre == *data_centre);
        let mut memory = DataCentreMemory {
            configured_mib: 0.0,
            free_mib: 0.0,
            largest_mib: 0,
            unallocated_mib: Vec::new(),
        };
        for (runner, &live) in here {
            let runner_mib = runner.model_memory_mib().0;
            memory.configured_mib += runner_mib as f64;
            if live {
                memory.free_mib += runner_mib as f64 * HOME_MEMORY_SHARE_MAX;
                memory.largest_mib = memory.largest_mib.max(runner_mib);
                memory.unallocated_mib.push(runner_mib);
            }
        }
        memory
    };
    let data_centres = catalog.data_centres.iter();
    data_centres
        .map(|data_centre| memory_of(&data_centre.name))
        .collect()
}

/// Chooses the homes of a model: for each copy the first data centre in `order` with room that is
/// not a home yet, else one with room, else one with a runner that is large enough.
fn homes_of(
    catalog: &Catalog,
    model: &Model,
    order: &[usize],
    memories: &mut [DataCentreMemory],
) -> Vec<usize> {
    let size_mib = model.memory_mib.0;
    let mut homes: Vec<usize> = Vec::new();
    for copy in 0..copies_min(catalog, &model.name) {
        let fits = |&&data_centre: &&usize| memories[data_centre].has_room_for(size_mib);
        let has_runner = |&&data_centre: &&usize| memories[data_centre].has_runner_for(size_mib);
        let fresh = order
            .iter()
            .find(|data_centre| fits(data_centre) && !homes.contains(data_centre));
        let has_large_runner =
            |&&data_centre: &&usize| memories[data_centre].largest_mib >= size_mib;
        let chosen = fresh
            .or_else(|| order.iter().find(fits))
            .or_else(|| order.iter().find(has_runner))
            .or_else(|| order.iter().filter(has_large_runner).nth(copy))
            .or_else(|| order.iter().find(has_large_runner))
            .or_else(|| order.first());
        let Some(&chosen) = chosen else {
            break;
        };
        memories[chosen].allocate(size_mib);
        homes.push(chosen);
    }
    homes
}

/// Returns the data centres that may hold a model, best rendezvous score first.
fn ranked_data_centres(
    catalog: &Catalog,
    model: &Model,
    memories: &[DataCentreMemory],
) -> Vec<usize> {
    let key = stable_hash(model.name.as_str());
    let data_centres = catalog.data_centres.iter().enumerate();
    let mut scored: Vec<(f64, usize)> = data_centres
        .filter(|(_, data_centre)| is_allowed(catalog, &model.name, &data_centre.name))
        .map(|(index, data_centre)| {
            let weight = memories[index].configured_mib;
            let score = weighted_rendezvous_score(key, data_centre.name.as_str(), weight);
            (score, index)
        })
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, index)| index).collect()
}
