//! Estimates demand rates from reports, as exponentially decaying averages.

use {
    crate::{
        fleet::Demand,
        units::{AdapterName, ModelName},
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// The time constant of the fast average, in seconds.
const FAST_TIME_CONSTANT_S: f64 = 20.0;
/// The time constant of the slow average, in seconds.
const SLOW_TIME_CONSTANT_S: f64 = 300.0;
/// The minimum time over which a rate is computed, in seconds.
const RATE_WINDOW_MIN_S: f64 = 10.0;
/// The requests per second below which demand is dropped.
const NEGLIGIBLE_REQUESTS_PER_S: f64 = 1e-5;

/// The demand for one model, or for one of its adapters.
#[derive(Debug, Clone, PartialEq)]
pub struct DemandRate {
    /// The model.
    pub model: ModelName,
    /// The adapter, if the callers named one.
    pub adapter: Option<AdapterName>,
    /// Requests that arrive per second.
    pub requests_per_s: f64,
    /// Tokens that the requests generate per second, where those of refused requests are
    /// estimated.
    pub tokens_per_s: f64,
    /// Requests per second that missed their target or were refused.
    pub lost_per_s: f64,
}

/// Merges demand reports into rates that rise within seconds and fall within minutes.
#[derive(Debug, Default)]
pub struct DemandTracker {
    entries: Vec<DemandEntry>,
    started: Option<Instant>,
}

/// The averages for one model, or for one of its adapters.
#[derive(Debug)]
struct DemandEntry {
    model: ModelName,
    adapter: Option<AdapterName>,
    updated: Instant,
    fast: DemandSums,
    slow: DemandSums,
}

/// Decaying sums over the reports.
#[derive(Debug, Clone, Copy, Default)]
struct DemandSums {
    requests: f64,
    answered: f64,
    tokens: f64,
    lost: f64,
}

impl DemandTracker {
    /// Adds reports that arrived at `now`.
    pub fn record(&mut self, reports: &[Demand], now: Instant) {
        self.started.get_or_insert(now);
        for report in reports {
            self.entry(report, now).add(report, now);
        }
    }

    /// Returns the rates at `now`, sorted by model and adapter.
    pub fn rates(&self, now: Instant) -> Vec<DemandRate> {
        let observed = self
            .started
            .map(|started| now.saturating_duration_since(started))
            .unwrap_or_default();
        let rates = self.entries.iter().map(|entry| entry.rate(now, observed));
        rates
            .filter(|rate| rate.requests_per_s >= NEGLIGIBLE_REQUESTS_PER_S)
            .collect()
    }

    /// Removes entries whose demand has decayed to almost nothing.
    pub fn prune(&mut self, now: Instant) {
        self.entries.retain(|entry| {
            let requests = entry
                .slow
                .decayed(entry.age(now), SLOW_TIME_CONSTANT_S)
                .requests;
            requests / SLOW_TIME_CONSTANT_S >= NEGLIGIBLE_REQUESTS_PER_S
        });
    }

    /// Returns the entry that a report belongs to, created if missing.
    fn entry(&mut self, report: &Demand, now: Instant) -> &mut DemandEntry {
        let key = (&report.model, &report.adapter);
        let found = self
            .entries
            .binary_search_by(|entry| (&entry.model, &entry.adapter).cmp(&key));
        let position = found.unwrap_or_else(|position| {
            self.entries.insert(position, DemandEntry::new(report, now));
            position
        });
        &mut self.entries[position]
    }
}

impl DemandEntry {
    fn new(report: &Demand, now: Instant) -> Self {
        Self {
            model: report.model.clone(),
            adapter: report.adapter.clone(),
            updated: now,
            fast: DemandSums::default(),
            slow: DemandSums::default(),
        }
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.updated)
    }

    /// Adds a report to the averages.
    fn add(&mut self, report: &Demand, now: Instant) {
        let age = self.age(now);
        self.fast = self
            .fast
            .decayed(age, FAST_TIME_CONSTANT_S)
            .with_report(report);
        self.slow = self
            .slow
            .decayed(age, SLOW_TIME_CONSTANT_S)
            .with_report(report);
        self.updated = self.updated.max(now);
    }

    /// Returns the rates at `now`, for a tracker that has run for `observed`.
    fn rate(&self, now: Instant, observed: Duration) -> DemandRate {
        let age = self.age(now);
        let fast = self.fast.decayed(age, FAST_TIME_CONSTANT_S);
        let slow = self.slow.decayed(age, SLOW_TIME_CONSTANT_S);
        let fast_s = window_s(FAST_TIME_CONSTANT_S, observed);
        let slow_s = window_s(SLOW_TIME_CONSTANT_S, observed);
        let requests_per_s = (fast.requests / fast_s).max(slow.requests / slow_s);
        DemandRate {
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            requests_per_s,
            tokens_per_s: requests_per_s * slow.tokens_per_answer(),
            lost_per_s: fast.lost / fast_s,
        }
    }
}

impl DemandSums {
    /// Returns the sums as they are after `age`, with the time constant `window_s`.
    fn decayed(self, age: Duration, window_s: f64) -> Self {
        let kept = (-age.as_secs_f64() / window_s).exp();
        Self {
            requests: self.requests * kept,
            answered: self.answered * kept,
            tokens: self.tokens * kept,
            lost: self.lost * kept,
        }
    }

    /// Returns the sums with the counts of a report added.
    fn with_report(self, report: &Demand) -> Self {
        let answered = report.requests.saturating_sub(report.refused);
        Self {
            requests: self.requests + f64::from(report.requests),
            answered: self.answered + f64::from(answered),
            tokens: self.tokens + f64::from(report.tokens),
            lost: self.lost + f64::from(report.late) + f64::from(report.refused),
        }
    }

    /// Returns the mean tokens of an answered request.
    fn tokens_per_answer(&self) -> f64 {
        if self.answered > 0.0 {
            self.tokens / self.answered
        } else {
            0.0
        }
    }
}

/// Returns the time that a decayed sum effectively covers, in seconds.
fn window_s(window_s: f64, observed: Duration) -> f64 {
    let covered = window_s * (1.0 - (-observed.as_secs_f64() / window_s).exp());
    covered.max(RATE_WINDOW_MIN_S.min(window_s))
}
