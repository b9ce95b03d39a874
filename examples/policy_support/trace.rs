//! Seeded demand: long-tailed, bursty, with shifts.

use {
    super::{
        deployment::{DeploymentCase, TOKENS_MEAN},
        engine::{Job, STEP_MS},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom},
};

/// The length of a trace.
pub const TRACE_S: f64 = 1_500.0;
/// How long a burst level of a model lasts on average.
const BURST_S: f64 = 45.0;
/// How strongly a model's demand varies between bursts.
const BURST_SIGMA: f64 = 0.6;
/// Models whose demand rises tenfold in the third fifth of the trace.
const RISING: usize = 3;
/// Prompt prefixes per model.
const PREFIXES: u64 = 12;

/// A seeded stream of arrivals.
pub struct Trace {
    rng: StdRng,
    popularity: Vec<f64>,
    shifted: Vec<f64>,
    rising: Vec<usize>,
    burst: Vec<f64>,
    steady: bool,
}

impl Trace {
    pub fn new(case: &DeploymentCase, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let models = case.catalog.models.len();
        let mut popularity: Vec<f64> = (1..=models).map(|rank| 1.0 / rank as f64).collect();
        popularity.shuffle(&mut rng);
        let mut shifted = popularity.clone();
        shifted.shuffle(&mut rng);
        let mut coldest: Vec<usize> = (0..models).collect();
        coldest.sort_by(|&a, &b| popularity[a].total_cmp(&popularity[b]));
        Self {
            rng,
            popularity,
            shifted,
            rising: coldest[..RISING].to_vec(),
            burst: vec![1.0; models],
            steady: case.steady,
        }
    }

    /// Returns each model's share of the demand at a time, bursts apart.
    pub fn shares(&self, now_ms: f64) -> Vec<f64> {
        let phase = if self.steady { 0 } else { phase(now_ms) };
        let base = if phase == 4 {
            &self.shifted
        } else {
            &self.popularity
        };
        let mut weights = base.clone();
        if phase == 2 {
            for &model in &self.rising {
                weights[model] *= 10.0;
            }
        }
        let total: f64 = weights.iter().sum();
        weights.into_iter().map(|weight| weight / total).collect()
    }

    /// Draws the arrivals of one step.
    pub fn step(&mut self, case: &DeploymentCase, now_ms: f64, jobs: &mut Vec<Job>) {
        let asked = case.phases[phase(now_ms)] * case.capacity_per_s * STEP_MS / 1e3;
        let shares = self.shares(now_ms);
        for (model, share) in shares.into_iter().enumerate() {
            if !self.steady && self.rng.random::<f64>() < STEP_MS / 1e3 / BURST_S {
                self.burst[model] = (BURST_SIGMA * self.normal() - BURST_SIGMA.powi(2) / 2.0).exp();
            }
            let mut left = asked * share * self.burst[model];
            while left > 0.0 {
                if self.rng.random::<f64>() < left.min(1.0) {
                    let job = self.job(case, model, now_ms);
                    jobs.push(job);
                }
                left -= 1.0;
            }
        }
    }

    fn job(&mut self, case: &DeploymentCase, model: usize, now_ms: f64) -> Job {
        let mut drawn = self.rng.random::<f64>();
        let class = case.classes.iter().find(|class| {
            drawn -= class.0;
            drawn < 0.0
        });
        let class = class.unwrap_or(&case.classes[0]);
        let skewed = self.rng.random::<f64>().powi(2);
        let spread = -self.rng.random::<f64>().max(1e-3).ln();
        Job {
            model,
            priority: class.1,
            prefix: model as u64 * PREFIXES + (skewed * PREFIXES as f64) as u64,
            tokens: TOKENS_MEAN * (0.5 + 0.5 * spread),
            arrived_ms: now_ms,
            target_ms: class.2,
        }
    }

    fn normal(&mut self) -> f64 {
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        sum - 6.0
    }
}

/// Returns the fifth of the trace that a time lies in.
fn phase(now_ms: f64) -> usize {
    ((now_ms / 1e3 / TRACE_S * 5.0) as usize).min(4)
}
