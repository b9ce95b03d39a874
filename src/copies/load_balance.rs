//! Projects how the load of models spreads over the runners that hold them.

/// The iterations over all models after which the loads have nearly converged.
const BALANCE_ITERATIONS: usize = 6;
/// The iterations over the models that a change of copies affects.
const CHANGE_ITERATIONS: usize = 2;
/// The maximum number of models that are spread anew because they share a runner with a changed one.
const NEIGHBOURS_MAX: usize = 12;

/// The load of one model and the runners that share it.
#[derive(Debug, Clone, PartialEq)]
pub struct SharedLoad {
    /// The expected number of requests in flight.
    pub in_flight: f64,
    /// The positions of the runners that hold the model.
    pub runners: Vec<usize>,
}

/// The load of runners, in requests in flight, when each model's requests go to its least loaded
/// copies.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadBalance {
    /// The load of each runner.
    pub runner_loads: Vec<f64>,
    /// For each model, the load of its least loaded runner; infinite if no runner holds it.
    pub model_levels: Vec<f64>,
    /// For each model, the part of its load at each of its runners.
    shares: Vec<Vec<f64>>,
    /// For each runner, the models with load that it holds.
    models_at: Vec<Vec<usize>>,
}

/// A change of the copies at one runner; models are given by position.
#[derive(Debug, Clone, Copy)]
pub struct CopyChange<'a> {
    /// The runner.
    pub runner: usize,
    /// The models that the runner no longer holds.
    pub removed: &'a [usize],
    /// The model that the runner holds then.
    pub added: Option<usize>,
}

impl LoadBalance {
    /// Spreads loads over `runner_count` runners.
    pub fn new(runner_count: usize, loads: &[SharedLoad]) -> Self {
        let mut runner_loads = vec![0.0; runner_count];
        let mut models_at = vec![Vec::new(); runner_count];
        let mut shares: Vec<Vec<f64>> = Vec::with_capacity(loads.len());
        for (model, load) in loads.iter().enumerate() {
            shares.push(vec![0.0; load.runners.len()]);
            if load.in_flight > 0.0 {
                for runner in &load.runners {
                    models_at[*runner].push(model);
                }
            }
        }
        for _ in 0..BALANCE_ITERATIONS {
            let busy = loads.iter().zip(&mut shares);
            for (load, shares) in busy.filter(|(load, _)| load.in_flight > 0.0) {
                refill(&mut runner_loads, load.in_flight, &load.runners, shares);
            }
        }
        let level = |load: &SharedLoad| {
            let levels = load.runners.iter().map(|runner| runner_loads[*runner]);
            levels.fold(f64::INFINITY, f64::min)
        };
        let model_levels = loads.iter().map(level).collect();
        Self {
            runner_loads,
            model_levels,
            shares,
            models_at,
        }
    }

    /// Returns the congestion after a change of copies, as [`Self::congestion`] does.
    ///
    /// Only the changed models and those that share a runner with them are spread anew.
    ///
    /// # Panics
    ///
    /// Panics if `loads` are not those that the balance was made from.
    pub fn congestion_after(
        &self,
        loads: &[SharedLoad],
        change: CopyChange<'_>,
        slots: f64,
    ) -> f64 {
        let mut runner_loads = self.runner_loads.clone();
        let mut affected = Vec::new();
        for model in change.removed {
            let (mut runners, mut shares) = self.spread_of(loads, *model);
            if let Some(at) = runners.iter().position(|runner| *runner == change.runner) {
                runners.remove(at);
                runner_loads[change.runner] -= shares.remove(at);
            }
            affected.push((*model, runners, shares));
        }
        if let Some(model) = change.added {
            let (mut runners, mut shares) = self.spread_of(loads, model);
            if !runners.contains(&change.runner) {
                runners.push(change.runner);
                shares.push(0.0);
            }
            affected.push((model, runners, shares));
        }
        for model in self.neighbours(loads, change) {
            let (runners, shares) = self.spread_of(loads, model);
            affected.push((model, runners, shares));
        }
        for _ in 0..CHANGE_ITERATIONS {
            for (model, runners, shares) in &mut affected {
                refill(&mut runner_loads, loads[*model].in_flight, runners, shares);
            }
        }
        congestion_of(&runner_loads, slots)
    }

    /// Returns the runners of a model, with its part of the load at each.
    fn spread_of(&self, loads: &[SharedLoad], model: usize) -> (Vec<usize>, Vec<f64>) {
        (loads[model].runners.clone(), self.shares[model].clone())
    }

    /// Returns the other models with load that share a runner with a changed one.
    fn neighbours(&self, loads: &[SharedLoad], change: CopyChange<'_>) -> Vec<usize> {
        let changed = change.removed.iter().copied().chain(change.added);
        let runners = changed.clone().flat_map(|model| &loads[model].runners);
        let mut found: Vec<usize> = Vec::new();
        for runner in std::iter::once(&change.runner).chain(runners) {
            for model in &self.models_at[*runner] {
                if found.len() >= NEIGHBOURS_MAX {
                    return found;
                }
                if !found.contains(model) && !changed.clone().any(|known| known == *model) {
                    found.push(*model);
                }
            }
        }
        found
    }

    /// Returns how much requests in flight slow each other down: the sum over all runners of the
    /// squared load divided by the slots of a runner.
    pub fn congestion(&self, slots: f64) -> f64 {
        congestion_of(&self.runner_loads, slots)
    }
}

fn congestion_of(runner_loads: &[f64], slots: f64) -> f64 {
    let loads = runner_loads.iter();
    loads.map(|load| load * load / slots).sum()
}

/// Spreads a load anew over its runners.
fn refill(runner_loads: &mut [f64], in_flight: f64, runners: &[usize], shares: &mut [f64]) {
    for (runner, share) in runners.iter().zip(shares.iter()) {
        runner_loads[*runner] -= share;
    }
    match (runners, &mut *shares) {
        ([runner], [share]) => {
            *share = in_flight;
            runner_loads[*runner] += in_flight;
        }
        _ => fill_runners(runner_loads, in_flight, runners, shares),
    }
}

/// Distributes a load over its runners by water-filling: the runners that get a share end at the
/// same load.
fn fill_runners(runner_loads: &mut [f64], in_flight: f64, runners: &[usize], shares: &mut [f64]) {
    let mut order: Vec<usize> = (0..runners.len()).collect();
    order.sort_unstable_by(|a, b| {
        let by_load = runner_loads[runners[*a]].total_cmp(&runner_loads[runners[*b]]);
        by_load.then(a.cmp(b))
    });
    let mut sum = in_flight;
    let mut filled = 0;
    let mut level = 0.0;
    for position in &order {
        let runner_load = runner_loads[runners[*position]];
        if filled > 0 && runner_load >= level {
            break;
        }
        sum += runner_load;
        filled += 1;
        level = sum / filled as f64;
    }
    for (rank, position) in order.iter().enumerate() {
        let runner = runners[*position];
        shares[*position] = match rank < filled {
            true => (level - runner_loads[runner]).max(0.0),
            false => 0.0,
        };
        runner_loads[runner] += shares[*position];
    }
}
