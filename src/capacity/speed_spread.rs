//! Whether the runners of a service differ in speed.

use {super::RunnerSpeed, tokio::time::Instant};

/// The fewest samples of a runner that counts.
const SAMPLES_MIN: u32 = 4;

/// The fewest runners that are compared.
const RUNNERS_MIN: usize = 3;

/// The standard deviation of the logarithm of slowness from which runners count as different.
const SPREAD_MIN: f64 = 0.22;

/// The standard deviation below which they count as equal again.
const SPREAD_LEFT: f64 = 0.12;

/// Whether the runners of a service differ in speed, as observed.
#[derive(Debug, Default)]
pub struct SpeedSpread {
    is_uneven: bool,
}

impl SpeedSpread {
    /// Compares the runners again; returns whether the result changed.
    pub fn update<'a>(
        &mut self,
        speeds: impl Iterator<Item = &'a RunnerSpeed>,
        now: Instant,
    ) -> bool {
        let known = speeds.filter(|speed| speed.samples() >= SAMPLES_MIN);
        let logs: Vec<f64> = known.map(|speed| speed.usual_log(now)).collect();
        if logs.len() < RUNNERS_MIN {
            return false;
        }
        let count = logs.len() as f64;
        let mean = logs.iter().sum::<f64>() / count;
        let variance = logs.iter().map(|log| (log - mean).powi(2)).sum::<f64>() / count;
        let least = if self.is_uneven {
            SPREAD_LEFT
        } else {
            SPREAD_MIN
        };
        let is_uneven = variance.sqrt() >= least;
        std::mem::replace(&mut self.is_uneven, is_uneven) != is_uneven
    }

    /// Returns whether the runners differ in speed.
    pub fn is_uneven(&self) -> bool {
        self.is_uneven
    }
}
