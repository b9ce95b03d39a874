//! The data that the node that plans needs of all nodes: demand, and usage by variant.

use {
    super::Item,
    crate::dispatch::{ModelDemand, RunnerHash, RunnerUsage},
};

/// Demand and usage by variant.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlanningData {
    /// The demand, sorted by its key.
    pub demand: Vec<ModelDemand>,
    /// The requests in flight by variant, sorted by runner.
    pub uses: Vec<RunnerUsage>,
}

impl PlanningData {
    /// Returns the sum of several nodes' data.
    pub fn merge<'a>(plans: impl IntoIterator<Item = &'a Self>) -> Self {
        let mut all = Self::default();
        for plan in plans {
            all.demand.extend_from_slice(&plan.demand);
            all.uses.extend_from_slice(&plan.uses);
        }
        all.demand.sort_by(|a, b| a.key().cmp(&b.key()));
        all.demand.dedup_by(|next, kept| {
            let same = next.key() == kept.key();
            if same {
                kept.requests_per_s += next.requests_per_s;
                kept.waiting = kept.waiting.saturating_add(next.waiting);
                let priorities = kept.room_priority.into_iter().chain(next.room_priority);
                kept.room_priority = priorities.min();
            }
            same
        });
        all.uses.sort_by_key(|used| used.runner);
        all.uses.dedup_by(|next, kept| {
            let same = next.runner == kept.runner;
            if same {
                add_use(kept, std::mem::take(&mut next.in_use));
            }
            same
        });
        all
    }

    /// Returns the number of requests that wait for a copy.
    pub fn waiting_requests(&self) -> u64 {
        self.demand.iter().map(|d| u64::from(d.waiting)).sum()
    }

    /// Inserts a demand or usage item, replacing an earlier one with the same key; ignores others.
    pub fn insert(&mut self, item: Item) {
        match item {
            Item::Demand(demand) if demand.requests_per_s.is_finite() => {
                let found = self.demand.binary_search_by(|d| d.key().cmp(&demand.key()));
                match found {
                    Ok(position) => self.demand[position] = demand,
                    Err(position) => self.demand.insert(position, demand),
                }
            }
            Item::Use(used) => match self.position(used.runner) {
                Ok(position) => self.uses[position] = used,
                Err(position) => self.uses.insert(position, used),
            },
            _ => {}
        }
    }

    /// Returns the data as items of a datagram.
    pub fn items(&self) -> impl Iterator<Item = Item> {
        let demand = self.demand.iter().cloned().map(Item::Demand);
        demand.chain(self.uses.iter().cloned().map(Item::Use))
    }

    fn position(&self, runner: RunnerHash) -> Result<usize, usize> {
        self.uses.binary_search_by_key(&runner, |used| used.runner)
    }
}

fn add_use(kept: &mut RunnerUsage, more: Vec<(crate::dispatch::Variant, u32)>) {
    for (variant, count) in more {
        match kept
            .in_use
            .binary_search_by(|(known, _)| known.cmp(&variant))
        {
            Ok(position) => {
                let known = &mut kept.in_use[position].1;
                *known = known.saturating_add(count);
            }
            Err(position) => kept.in_use.insert(position, (variant, count)),
        }
    }
}
