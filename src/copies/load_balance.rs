//! Projects how the load of models spreads over the runners that hold them.

/// The iterations over all models after which the loads have nearly converged.
const BALANCE_ITERATIONS: usize = 6;

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
}

impl LoadBalance {
    /// Spreads loads over `runner_count` runners.
    pub fn new(runner_count: usize, loads: &[SharedLoad]) -> Self {
        let mut runner_loads = vec![0.0; runner_count];
        let mut shares: Vec<Vec<f64>> = Vec::with_capacity(loads.len());
        for load in loads {
            shares.push(vec![0.0; load.runners.len()]);
        }
        for _ in 0..BALANCE_ITERATIONS {
            for (load, shares) in loads.iter().zip(&mut shares) {
                for (runner, share) in load.runners.iter().zip(shares.iter()) {
                    runner_loads[*runner] -= share;
                }
                fill_runners(&mut runner_loads, load, shares);
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
        }
    }

    /// Returns how much requests in flight slow each other down: the sum over all runners of the
    /// squared load divided by the slots of a runner.
    pub fn congestion(&self, slots: f64) -> f64 {
        let loads = self.runner_loads.iter();
        loads.map(|load| load * load / slots).sum()
    }
}

/// Distributes a load over its runners by water-filling: the runners that get a share end at the
/// same load.
fn fill_runners(runner_loads: &mut [f64], load: &SharedLoad, shares: &mut [f64]) {
    let mut order: Vec<usize> = (0..load.runners.len()).collect();
    order.sort_by(|a, b| runner_loads[load.runners[*a]].total_cmp(&runner_loads[load.runners[*b]]));
    let mut sum = load.in_flight;
    let mut filled = 0;
    let mut level = 0.0;
    for position in &order {
        let runner_load = runner_loads[load.runners[*position]];
        if filled > 0 && runner_load >= level {
            break;
        }
        sum += runner_load;
        filled += 1;
        level = sum / filled as f64;
    }
    for (rank, position) in order.iter().enumerate() {
        let runner = load.runners[*position];
        shares[*position] = match rank < filled {
            true => (level - runner_loads[runner]).max(0.0),
            false => 0.0,
        };
        runner_loads[runner] += shares[*position];
    }
}
