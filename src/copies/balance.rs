//! How the load of models spreads over the runners that hold them.

/// The passes over all models in which the loads settle.
const PASSES: usize = 6;

/// The load of one model and the runners that share it.
#[derive(Debug, Clone, PartialEq)]
pub struct SharedLoad {
    /// Requests in flight at once.
    pub in_flight: f64,
    /// The runners that hold the model, by position.
    pub runners: Vec<usize>,
}

/// The load of runners when each model's requests go to its least loaded copies.
#[derive(Debug, Clone, PartialEq)]
pub struct Balance {
    /// By runner.
    pub runners: Vec<f64>,
    /// By model: the load of its least loaded runner, or infinite without one.
    pub levels: Vec<f64>,
}

impl Balance {
    /// Spreads loads over a number of runners.
    pub fn new(runner_count: usize, loads: &[SharedLoad]) -> Self {
        let mut runners = vec![0.0; runner_count];
        let mut shares: Vec<Vec<f64>> = Vec::with_capacity(loads.len());
        for load in loads {
            shares.push(vec![0.0; load.runners.len()]);
        }
        for _ in 0..PASSES {
            for (load, shares) in loads.iter().zip(&mut shares) {
                for (runner, share) in load.runners.iter().zip(shares.iter()) {
                    runners[*runner] -= share;
                }
                pour(&mut runners, load, shares);
            }
        }
        let level = |load: &SharedLoad| {
            let levels = load.runners.iter().map(|runner| runners[*runner]);
            levels.fold(f64::INFINITY, f64::min)
        };
        let levels = loads.iter().map(level).collect();
        Self { runners, levels }
    }

    /// Returns how much the requests in flight hold each other up at runners of a number of slots.
    pub fn strain(&self, slots: f64) -> f64 {
        let loads = self.runners.iter();
        loads.map(|load| load * load / slots).sum()
    }
}

/// Pours a load into its runners so that those that get any end at one level.
fn pour(runners: &mut [f64], load: &SharedLoad, shares: &mut [f64]) {
    let mut order: Vec<usize> = (0..load.runners.len()).collect();
    order.sort_by(|a, b| runners[load.runners[*a]].total_cmp(&runners[load.runners[*b]]));
    let mut sum = load.in_flight;
    let mut filled = 0;
    let mut level = 0.0;
    for position in &order {
        let height = runners[load.runners[*position]];
        if filled > 0 && height >= level {
            break;
        }
        sum += height;
        filled += 1;
        level = sum / filled as f64;
    }
    for (rank, position) in order.iter().enumerate() {
        let runner = load.runners[*position];
        shares[*position] = match rank < filled {
            true => (level - runners[runner]).max(0.0),
            false => 0.0,
        };
        runners[runner] += shares[*position];
    }
}
