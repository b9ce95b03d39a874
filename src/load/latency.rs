//! Latency histograms and their percentiles.

use {
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Significant decimal digits that a histogram keeps of a value.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of latencies, recorded in microseconds.
#[derive(Debug, Clone)]
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self::new()
    }
}

impl LatencyHistogram {
    /// Creates an empty histogram.
    ///
    /// # Panics
    ///
    /// Never: the number of digits is one that the library supports.
    pub fn new() -> Self {
        Self(Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are supported"))
    }

    /// Records a latency.
    pub fn add(&mut self, time: Duration) {
        self.add_many(time, 1);
    }

    /// Records a latency `count` times.
    pub fn add_many(&mut self, time: Duration, count: u32) {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let _ = self.0.record_n(time_us, u64::from(count));
    }

    /// Returns the percentiles of the recorded latencies.
    pub fn percentiles(&self) -> Percentiles {
        let at = |percent| self.0.value_at_percentile(percent) as f64 / 1000.0;
        Percentiles {
            count: self.0.len(),
            p50_ms: at(50.0),
            p95_ms: at(95.0),
            p99_ms: at(99.0),
            max_ms: self.0.max() as f64 / 1000.0,
        }
    }
}

/// Percentiles of a latency, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// The number of recorded values.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The largest value.
    pub max_ms: f64,
}
