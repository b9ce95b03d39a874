//! Whether the runners of a service differ in speed.

use {
    super::{ModelPaces, RunnerSpeed},
    tokio::time::Instant,
};

/// The fewest samples of a runner that counts.
const SAMPLES_MIN: u32 = 4;

/// The fewest runners that are compared.
const RUNNERS_MIN: usize = 2;

/// The standard deviation of the logarithm of slowness from which runners count as different.
const SPREAD_MIN: f64 = 0.22;

/// The standard deviation below which they count as equal again.
const SPREAD_LEFT: f64 = 0.12;

/// The share by which each comparison moves the mean of all runners to 0.
const CENTRING_SHARE: f64 = 0.1;

/// Whether the runners of a service differ in speed, as observed.
#[derive(Debug, Default)]
pub struct SpeedSpread {
    is_uneven: bool,
}

impl SpeedSpread {
    /// Compares the runners again, and moves their mean towards 0, so that a runner that nobody tried
    /// counts as one of the mean speed; returns whether they now differ and did not before, or the
    /// other way round.
    pub fn update<'a>(
        &mut self,
        speeds: impl Iterator<Item = &'a mut RunnerSpeed>,
        paces: &mut ModelPaces,
        now: Instant,
    ) -> bool {
        let known = speeds.filter(|speed| speed.samples() >= SAMPLES_MIN);
        let mut known: Vec<&mut RunnerSpeed> = known.collect();
        if known.is_empty() {
            return false;
        }
        let logs: Vec<f64> = known.iter().map(|speed| speed.usual_log(now)).collect();
        let count = logs.len() as f64;
        let mean = logs.iter().sum::<f64>() / count;
        known
            .iter_mut()
            .for_each(|speed| speed.shift(-mean * CENTRING_SHARE, now));
        paces.shift(mean * CENTRING_SHARE);
        if logs.len() < RUNNERS_MIN {
            return false;
        }
        let variance = logs.iter().map(|log| (log - mean).powi(2)).sum::<f64>() / count;
        let least = match self.is_uneven {
            true => SPREAD_LEFT,
            false => SPREAD_MIN,
        };
        let is_uneven = variance.sqrt() >= least;
        std::mem::replace(&mut self.is_uneven, is_uneven) != is_uneven
    }

    /// Returns whether the runners differ in speed.
    pub fn is_uneven(&self) -> bool {
        self.is_uneven
    }
}
