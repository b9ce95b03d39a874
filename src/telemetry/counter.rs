//! Counters and histograms that are updated by atomic additions without a lookup by name.

use std::{
    fmt::Write,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// The upper bounds of the buckets of [`DurationHistogram`], in milliseconds.
pub const TIME_BOUNDS_MS: [u64; 12] = [
    5, 10, 25, 50, 100, 250, 500, 800, 1_500, 3_000, 6_000, 15_000,
];

/// A metric that only increases.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one to the counter.
    pub fn count(&self) {
        self.add(1);
    }

    /// Adds a number to the counter.
    pub fn add(&self, number: u64) {
        self.0.fetch_add(number, Ordering::Relaxed);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A histogram of durations.
#[derive(Debug, Default)]
pub struct DurationHistogram {
    buckets: [Counter; TIME_BOUNDS_MS.len()],
    count: Counter,
    sum_us: Counter,
}

impl DurationHistogram {
    /// Records a duration.
    pub fn record(&self, duration: Duration) {
        let ms = duration.as_millis() as u64;
        let position = TIME_BOUNDS_MS.partition_point(|bound| *bound < ms);
        if let Some(bucket) = self.buckets.get(position) {
            bucket.count();
        }
        self.count.count();
        self.sum_us.add(duration.as_micros() as u64);
    }
}

/// Writes metrics in the Prometheus text format.
#[derive(Debug, Default)]
pub struct MetricText(String);

impl MetricText {
    /// Writes the description of a metric; its values must follow.
    pub fn begin(&mut self, name: &'static str, kind: &str, help: &str) {
        let _ = writeln!(self.0, "# HELP {name} {help}\n# TYPE {name} {kind}");
    }

    /// Writes a value of the metric that was begun last.
    pub fn value(&mut self, name: &str, labels: &[(&str, &str)], value: f64) {
        self.0.push_str(name);
        for (position, (label, text)) in labels.iter().enumerate() {
            let open = if position == 0 { '{' } else { ',' };
            let _ = write!(self.0, "{open}{label}=\"");
            self.write_escaped(text);
            self.0.push('"');
        }
        let close = if labels.is_empty() { "" } else { "}" };
        let _ = writeln!(self.0, "{close} {value}");
    }

    /// Writes a metric with one value and no labels.
    pub fn single(&mut self, name: &'static str, kind: &str, help: &str, value: f64) {
        self.begin(name, kind, help);
        self.value(name, &[], value);
    }

    /// Writes a histogram in seconds, as values of the metric that was begun last.
    pub fn histogram(
        &mut self,
        name: &str,
        labels: &[(&str, &str)],
        histogram: &DurationHistogram,
    ) {
        let mut cumulative = 0;
        for (bucket, bound_ms) in histogram.buckets.iter().zip(TIME_BOUNDS_MS) {
            cumulative += bucket.get();
            let bound = (bound_ms as f64 / 1_000.0).to_string();
            self.write_bucket(name, labels, &bound, cumulative);
        }
        let count = histogram.count.get();
        self.write_bucket(name, labels, "+Inf", count);
        let seconds = histogram.sum_us.get() as f64 / 1e6;
        self.value(&format!("{name}_sum"), labels, seconds);
        self.value(&format!("{name}_count"), labels, count as f64);
    }

    /// Returns the complete text.
    pub fn finish(self) -> String {
        self.0
    }

    fn write_bucket(&mut self, name: &str, labels: &[(&str, &str)], bound: &str, count: u64) {
        let mut labels = labels.to_vec();
        labels.push(("le", bound));
        self.value(&format!("{name}_bucket"), &labels, count as f64);
    }

    fn write_escaped(&mut self, text: &str) {
        for letter in text.chars() {
            match letter {
                '"' | '\\' => self.0.extend(['\\', letter]),
                '\n' => self.0.push_str("\\n"),
                _ => self.0.push(letter),
            }
        }
    }
}
