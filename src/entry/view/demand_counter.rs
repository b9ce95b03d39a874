//! Counts callers' demand by model and adapter between two reports to the keeper.

use {
    crate::{
        fleet::Demand,
        units::{AdapterName, ModelName, RequestId},
    },
    std::sync::{Mutex, PoisonError},
};

/// The number of shards, each under its own lock.
const DEMAND_SHARDS: usize = 16;

/// The demand by model and adapter, counted in shards.
#[derive(Debug, Default)]
pub struct DemandCounter {
    shards: [Mutex<Vec<Demand>>; DEMAND_SHARDS],
}

impl DemandCounter {
    /// Updates the counts of a model or adapter.
    pub fn update(
        &self,
        request: RequestId,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        change: impl FnOnce(&mut Demand),
    ) {
        let shard = &self.shards[request.0 as usize % DEMAND_SHARDS];
        let mut demand = shard.lock().unwrap_or_else(PoisonError::into_inner);
        change(find_or_insert(&mut demand, model, adapter));
    }

    /// Returns the sum of all shards and resets the counts.
    pub fn collect_and_reset(&self) -> Vec<Demand> {
        let mut total = Vec::new();
        for shard in &self.shards {
            let counts = std::mem::take(&mut *shard.lock().unwrap_or_else(PoisonError::into_inner));
            for part in counts {
                let sum = find_or_insert(&mut total, &part.model, part.adapter.as_ref());
                sum.requests += part.requests;
                sum.tokens += part.tokens;
                sum.late += part.late;
                sum.refused += part.refused;
            }
        }
        total
    }
}

fn find_or_insert<'a>(
    sorted: &'a mut Vec<Demand>,
    model: &ModelName,
    adapter: Option<&AdapterName>,
) -> &'a mut Demand {
    let position = sorted
        .binary_search_by(|found| (&found.model, found.adapter.as_ref()).cmp(&(model, adapter)));
    let position = match position {
        Ok(position) => position,
        Err(position) => {
            let empty = Demand {
                model: model.clone(),
                adapter: adapter.cloned(),
                requests: 0,
                tokens: 0,
                late: 0,
                refused: 0,
            };
            sorted.insert(position, empty);
            position
        }
    };
    &mut sorted[position]
}
