//! Plans the loads and evictions of adapters on the runners that hold their models.

use {
    super::planner::Planner,
    crate::{
        config::Adapter,
        fleet::MoveChange,
        routing::{rendezvous_weight, stable_hash},
        units::AdapterName,
    },
    std::cmp::Reverse,
};

/// The share of a runner's capacity that one copy of an adapter is meant to serve.
const COPY_CAPACITY_SHARE: f64 = 0.5;
/// The ratio of an adapter's demand to that of the adapter that it evicts.
const EVICTION_DEMAND_RATIO: f64 = 2.0;

/// An adapter with demand.
struct RequestedAdapter<'a> {
    adapter: &'a Adapter,
    tokens_per_s: f64,
    requests_per_s: f64,
}

/// The adapter pool of one runner.
struct AdapterPool {
    free_mib: u64,
    /// Requests per second, name and size of each resident adapter, in ascending order of demand.
    evictable: Vec<(f64, AdapterName, u64)>,
}

impl<'a> Planner<'a> {
    /// Plans loads of the adapters that callers request, in descending order of demand.
    pub fn place_adapters(&mut self) {
        let requested = self.requested_adapters();
        let mut pools = self.pools();
        let mut loads = self
            .input
            .catalog
            .deployment
            .adapter_loads_at_once_max
            .max(1);
        for requested in &requested {
            if loads == 0 {
                return;
            }
            let Some((runner, urgent)) = self.next_holder(requested) else {
                continue;
            };
            loads -= 1;
            if self.fleet.runners[runner].in_planned_data_centre {
                self.load_adapter(runner, requested, urgent, &mut pools[runner]);
            }
        }
    }

    /// Returns the configured adapters with demand, in descending order of demand.
    fn requested_adapters(&self) -> Vec<RequestedAdapter<'a>> {
        let catalog = self.input.catalog;
        let rates = self.input.demand.iter();
        let mut requested: Vec<_> = rates
            .filter_map(|rate| {
                let adapter = catalog.adapter(rate.adapter.as_ref()?)?;
                Some(RequestedAdapter {
                    adapter,
                    tokens_per_s: rate.tokens_per_s,
                    requests_per_s: rate.requests_per_s,
                })
            })
            .collect();
        requested.sort_by(|a, b| b.requests_per_s.total_cmp(&a.requests_per_s));
        requested
    }

    /// Returns the next runner to load an adapter, and whether the load is urgent because no
    /// runner holds the adapter; `None` if the adapter has enough copies.
    fn next_holder(&self, requested: &RequestedAdapter<'_>) -> Option<(usize, bool)> {
        let models = &self.input.catalog.models;
        let found = models.binary_search_by(|model| model.name.cmp(&requested.adapter.model));
        let model = found.ok()?;
        let (holders, others): (Vec<usize>, Vec<usize>) = self
            .fleet
            .ready_holders(model)
            .partition(|&runner| self.holds_adapter(runner, &requested.adapter.name));
        let per_holder = self.input.tokens_per_accelerator_s * COPY_CAPACITY_SHARE;
        let needed = (requested.tokens_per_s / per_holder).ceil().max(1.0) as usize;
        if holders.len() >= needed {
            return None;
        }
        let key = stable_hash(requested.adapter.name.as_str());
        let weight = |runner: usize| {
            let name = &self.fleet.runners[runner].runner.name;
            rendezvous_weight(key, name.as_str())
        };
        let next = others.into_iter().max_by_key(|&runner| weight(runner))?;
        Some((next, holders.is_empty()))
    }

    /// Returns whether a runner holds an adapter.
    fn holds_adapter(&self, runner: usize, adapter: &AdapterName) -> bool {
        let state = self.fleet.runners[runner].state;
        state.is_some_and(|state| state.adapters.contains(adapter))
    }

    /// Plans the load of an adapter, or the evictions that must come first, if the evicted
    /// adapters have little enough demand.
    fn load_adapter(
        &mut self,
        runner: usize,
        requested: &RequestedAdapter<'_>,
        urgent: bool,
        pool: &mut AdapterPool,
    ) {
        let size_mib = requested.adapter.memory_mib.0;
        if pool.free_mib >= size_mib {
            pool.free_mib -= size_mib;
            let name = requested.adapter.name.clone();
            self.push_move(runner, MoveChange::LoadAdapter(name), urgent);
            return;
        }
        let mut room_mib = pool.free_mib;
        let mut victims = 0;
        for (rate, _, size) in &pool.evictable {
            if room_mib >= size_mib || rate * EVICTION_DEMAND_RATIO > requested.requests_per_s {
                break;
            }
            room_mib += size;
            victims += 1;
        }
        if room_mib < size_mib {
            return;
        }
        for (_, name, _) in pool.evictable.drain(..victims) {
            self.push_move(runner, MoveChange::UnloadAdapter(name), urgent);
        }
    }

    /// Returns the adapter pools of all runners.
    fn pools(&self) -> Vec<AdapterPool> {
        (0..self.fleet.runners.len())
            .map(|runner| self.pool(runner))
            .collect()
    }

    /// Returns the adapter pool of a runner.
    fn pool(&self, runner: usize) -> AdapterPool {
        let projected = &self.fleet.runners[runner];
        let catalog = self.input.catalog;
        let residents = projected.state.map(|state| state.adapters.as_slice());
        let mut held_mib = 0;
        let mut evictable = Vec::new();
        for name in residents.unwrap_or_default() {
            let size_mib = catalog
                .adapter(name)
                .map_or(0, |adapter| adapter.memory_mib.0);
            held_mib += size_mib;
            evictable.push((self.adapter_rate(runner, name), name.clone(), size_mib));
        }
        evictable.sort_by(|a, b| {
            let by_rate = a.0.total_cmp(&b.0);
            by_rate.then_with(|| Reverse(a.2).cmp(&Reverse(b.2)))
        });
        let pool_mib = projected.runner.adapter_pool_mib.0;
        AdapterPool {
            free_mib: pool_mib.saturating_sub(held_mib),
            evictable,
        }
    }

    /// Returns the requests per second for an adapter; zero if the runner holds no copy of the
    /// adapter's model.
    fn adapter_rate(&self, runner: usize, name: &AdapterName) -> f64 {
        let Some(adapter) = self.input.catalog.adapter(name) else {
            return 0.0;
        };
        let copies = self.fleet.runners[runner].copies.iter();
        let models = &self.input.catalog.models;
        let served = copies
            .filter_map(|copy| copy.model)
            .any(|model| models[model].name == adapter.model);
        if !served {
            return 0.0;
        }
        let key = (&adapter.model, Some(name));
        let rates = self.input.demand;
        let found = rates.binary_search_by(|rate| (&rate.model, rate.adapter.as_ref()).cmp(&key));
        found.map_or(0.0, |position| rates[position].requests_per_s)
    }
}
