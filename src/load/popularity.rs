//! Long-tailed popularity distribution.

use rand::{Rng, RngExt};

/// A distribution of ranks, drawn with probabilities in proportion to their weights.
#[derive(Debug, Clone)]
pub struct Popularity {
    /// The sum of the weights up to and including each rank.
    cumulative_weights: Vec<f64>,
}

impl Popularity {
    /// Creates a Zipf distribution over `count` ranks; an exponent of zero makes it uniform.
    pub fn new(count: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        let weights = (1..=count).map(|rank| (rank as f64).powf(-exponent));
        let cumulative_weights = weights.map(|weight| {
            sum += weight;
            sum
        });
        Self {
            cumulative_weights: cumulative_weights.collect(),
        }
    }

    /// Creates a distribution over ranks with these weights.
    pub fn weighted(weights: impl IntoIterator<Item = f64>) -> Self {
        let mut sum = 0.0;
        let cumulative_weights = weights.into_iter().map(|weight| {
            sum += weight;
            sum
        });
        Self {
            cumulative_weights: cumulative_weights.collect(),
        }
    }

    /// Draws a rank, starting from zero.
    pub fn draw(&self, random: &mut impl Rng) -> usize {
        let total = self.cumulative_weights.last().copied().unwrap_or(0.0);
        let point = random.random::<f64>() * total;
        let rank = self.cumulative_weights.partition_point(|sum| *sum <= point);
        rank.min(self.cumulative_weights.len().saturating_sub(1))
    }
}
