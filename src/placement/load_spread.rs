//! Estimates how demand spreads over copies, and how many requests are lost by overload.

use super::projected_fleet::ProjectedFleet;

/// The iterations over all models after which the shares have nearly converged.
const BALANCE_ITERATIONS: usize = 3;
/// The load up to which a runner answers all requests within their target.
const LOSSLESS_LOAD_MAX: f64 = 0.7;
/// The share of requests that miss their target at full load.
const LOST_SHARE_AT_FULL_LOAD: f64 = 0.1;
/// Seconds in a minute.
const MINUTE_S: f64 = 60.0;

/// The demand for one model, summed over its adapters.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ModelDemand {
    pub requests_per_s: f64,
    pub tokens_per_s: f64,
}

/// A copy that is added or removed.
#[derive(Debug, Clone, Copy)]
pub(super) struct CopyChange {
    model: usize,
    runner: usize,
    added: bool,
}

impl CopyChange {
    /// Creates the addition of a copy.
    pub fn added(model: usize, runner: usize) -> Self {
        Self {
            model,
            runner,
            added: true,
        }
    }

    /// Creates the removal of a copy.
    pub fn removed(model: usize, runner: usize) -> Self {
        Self {
            added: false,
            ..Self::added(model, runner)
        }
    }
}

/// How the demand spreads over the copies in a projected fleet.
#[derive(Debug, Clone)]
pub(super) struct LoadSpread {
    /// The capacity of each runner, in tokens per second.
    capacities: Vec<f64>,
    /// The load of each runner, in tokens per second.
    loads: Vec<f64>,
    /// The runners that hold each model.
    holders: Vec<Vec<usize>>,
    /// The tokens per second of each model at each of its holders.
    shares: Vec<Vec<f64>>,
}

impl LoadSpread {
    /// Spreads demand so that the loads of a model's runners even out, as routing does.
    pub fn new(
        fleet: &ProjectedFleet<'_>,
        demand: &[ModelDemand],
        tokens_per_accelerator_s: f64,
    ) -> Self {
        let capacities = fleet.runners.iter().map(|projected| {
            f64::from(projected.runner.accelerators.max(1)) * tokens_per_accelerator_s.max(1.0)
        });
        let holders: Vec<Vec<usize>> = (0..demand.len())
            .map(|model| fleet.holders(model).collect())
            .collect();
        Self::with_holders(capacities.collect(), holders, demand)
    }

    /// Spreads demand over the given holders of each model.
    fn with_holders(
        capacities: Vec<f64>,
        holders: Vec<Vec<usize>>,
        demand: &[ModelDemand],
    ) -> Self {
        let shares = holders.iter().map(|runners| vec![0.0; runners.len()]);
        let mut spread = Self {
            loads: vec![0.0; capacities.len()],
            shares: shares.collect(),
            capacities,
            holders,
        };
        spread.balance(demand);
        spread
    }

    /// Returns the spread with some copies added or removed.
    ///
    /// The result equals that of [`LoadSpread::new`] for a fleet with these copies, so that
    /// estimates agree from one round of planning to the next.
    pub fn changed(&self, changes: &[CopyChange], demand: &[ModelDemand]) -> Self {
        let mut holders = self.holders.clone();
        for change in changes {
            apply_change(change, &mut holders[change.model]);
        }
        Self::with_holders(self.capacities.clone(), holders, demand)
    }

    /// Returns the load of a runner as a share of its capacity.
    pub fn load(&self, runner: usize) -> f64 {
        self.loads[runner] / self.capacities[runner]
    }

    /// Returns the load of the least loaded runner that holds a model; infinite without a holder.
    pub fn best_load(&self, model: usize) -> f64 {
        let loads = self.holders[model].iter().map(|&runner| self.load(runner));
        loads.fold(f64::INFINITY, f64::min)
    }

    /// Estimates the requests per minute that miss their target or are not answered.
    pub fn lost_per_minute(&self, demand: &[ModelDemand]) -> f64 {
        let models = demand.iter().enumerate();
        models
            .map(|(model, demand)| self.lost_per_minute_of(model, demand))
            .sum()
    }

    /// Estimates the lost requests per minute of one model.
    fn lost_per_minute_of(&self, model: usize, demand: &ModelDemand) -> f64 {
        if demand.tokens_per_s <= 0.0 || self.holders[model].is_empty() {
            return demand.requests_per_s * MINUTE_S;
        }
        let copies = self.holders[model].iter().zip(&self.shares[model]);
        let lost_tokens: f64 = copies
            .map(|(&runner, share)| share * lost_share(self.load(runner)))
            .sum();
        lost_tokens / demand.tokens_per_s * demand.requests_per_s * MINUTE_S
    }

    /// Spreads the demand of all models repeatedly, until the loads have nearly converged.
    fn balance(&mut self, demand: &[ModelDemand]) {
        for _ in 0..BALANCE_ITERATIONS {
            for (model, demand) in demand.iter().enumerate() {
                if demand.tokens_per_s > 0.0 {
                    self.spread_model(model, demand.tokens_per_s);
                }
            }
        }
    }

    /// Distributes a model's demand over its runners by water-filling: the runners that get a
    /// share end at the same load.
    fn spread_model(&mut self, model: usize, tokens_per_s: f64) {
        let holders = &self.holders[model];
        let shares = &mut self.shares[model];
        for (&runner, share) in holders.iter().zip(shares.iter()) {
            self.loads[runner] -= share;
        }
        let level = water_level(holders, &self.loads, &self.capacities, tokens_per_s);
        for (&runner, share) in holders.iter().zip(shares.iter_mut()) {
            *share = (level * self.capacities[runner] - self.loads[runner]).max(0.0);
            self.loads[runner] += *share;
        }
    }
}

/// Applies a change to the sorted holders of its model.
fn apply_change(change: &CopyChange, holders: &mut Vec<usize>) {
    match holders.binary_search(&change.runner) {
        Err(position) if change.added => holders.insert(position, change.runner),
        Ok(position) if !change.added => {
            holders.remove(position);
        }
        _ => {}
    }
}

/// Returns the load that the least loaded holders reach when they share `tokens_per_s` more.
fn water_level(holders: &[usize], loads: &[f64], capacities: &[f64], tokens_per_s: f64) -> f64 {
    let mut sorted: Vec<(f64, usize)> = holders
        .iter()
        .map(|&runner| (loads[runner] / capacities[runner], runner))
        .collect();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut load = tokens_per_s;
    let mut capacity = 0.0;
    let mut level = 0.0;
    for (position, &(_, runner)) in sorted.iter().enumerate() {
        load += loads[runner];
        capacity += capacities[runner];
        level = load / capacity;
        let next = sorted.get(position + 1);
        if next.is_none_or(|&(next, _)| level <= next) {
            break;
        }
    }
    level
}

/// Estimates the share of requests that a runner loses at a load.
fn lost_share(load: f64) -> f64 {
    if load <= LOSSLESS_LOAD_MAX {
        0.0
    } else if load <= 1.0 {
        LOST_SHARE_AT_FULL_LOAD * (load - LOSSLESS_LOAD_MAX) / (1.0 - LOSSLESS_LOAD_MAX)
    } else {
        1.0 - (1.0 - LOST_SHARE_AT_FULL_LOAD) / load
    }
}
