//! Estimates the requests in flight for each model and adapter.

use {
    super::{AdapterLoad, ModelLoad},
    crate::{
        dispatch::{ModelDemand, RunnerView},
        traffic::{AdapterId, ModelId},
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// The time constant with which an estimate follows a rise.
const RISE_TIME_CONSTANT: Duration = Duration::from_millis(400);
/// The time constant with which an estimate follows a fall.
const FALL_TIME_CONSTANT: Duration = Duration::from_millis(2_500);
/// How far ahead a rising request rate is extrapolated, in seconds.
const RATE_EXTRAPOLATION_S: f64 = 1.5;
/// The time constant of the average that a request rate is compared with to detect a rise.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(1_000);
/// How long after the first request the shares of the models are still unreliable.
const WARM_UP_TIME: Duration = Duration::from_millis(2_000);
/// The lower and upper bound of the mean time that a request is in flight, in seconds.
const REQUEST_TIME_BOUNDS_S: (f64, f64) = (0.3, 4.0);

/// The estimate for a model, or for one of its adapters.
#[derive(Debug, Clone)]
struct Estimate {
    model: ModelId,
    adapter: Option<AdapterId>,
    in_flight: f64,
    average_rate: f64,
}

/// The current demand for a model or adapter.
#[derive(Debug, Clone)]
struct Sample {
    model: ModelId,
    adapter: Option<AdapterId>,
    requests_per_s: f64,
    in_flight: f64,
    waiting: u32,
}

/// Estimates the load of the models of one service.
#[derive(Debug, Clone, Default)]
pub struct LoadEstimator {
    /// Sorted by model and adapter; an adapter of `None` stands for the model with all adapters.
    estimates: Vec<Estimate>,
    updated: Option<Instant>,
    mean_request_time_s: f64,
    first_request: FirstRequest,
}

/// When the first requests arrived.
#[derive(Debug, Clone, Copy, Default)]
enum FirstRequest {
    /// No request has arrived.
    #[default]
    Pending,
    /// The first requests arrived at this instant.
    At(Instant),
    /// Requests were already in flight at the first update.
    BeforeFirstUpdate,
}

impl LoadEstimator {
    /// Updates the estimates from the current demand; returns the loads sorted by model.
    pub fn update(
        &mut self,
        demand: &[ModelDemand],
        runners: &[RunnerView],
        now: Instant,
    ) -> Vec<ModelLoad> {
        let samples = collect_samples(demand, runners);
        let time_s = mean_time_in_flight_s(&samples);
        self.mean_request_time_s = time_s;
        let elapsed = self.updated.map(|updated| now.duration_since(updated));
        self.record_first_request(&samples, now);
        self.updated = Some(now);
        let mut estimates = Vec::with_capacity(samples.len());
        for sample in &samples {
            let previous = self.find(&sample.model, sample.adapter.as_ref());
            estimates.push(update_estimate(previous, sample, time_s, elapsed));
        }
        for estimate in std::mem::take(&mut self.estimates) {
            let key = (&estimate.model, estimate.adapter.as_ref());
            let is_seen = samples
                .binary_search_by(|sample| (&sample.model, sample.adapter.as_ref()).cmp(&key));
            if is_seen.is_err() && estimate.in_flight > 0.01 {
                estimates.push(decay_estimate(estimate, elapsed));
            }
        }
        estimates.sort_by(|a, b| (&a.model, &a.adapter).cmp(&(&b.model, &b.adapter)));
        self.estimates = estimates;
        self.loads(&samples)
    }

    /// Records when the first requests arrived.
    fn record_first_request(&mut self, samples: &[Sample], now: Instant) {
        let has_demand = |sample: &Sample| sample.in_flight > 0.0 || sample.requests_per_s > 0.0;
        if !matches!(self.first_request, FirstRequest::Pending) || !samples.iter().any(has_demand) {
            return;
        }
        self.first_request = match self.updated {
            Some(_) => FirstRequest::At(now),
            None => FirstRequest::BeforeFirstUpdate,
        };
    }

    /// Returns whether the first requests arrived so recently that the shares of the models are
    /// not known yet.
    pub fn is_warming_up(&self, now: Instant) -> bool {
        match self.first_request {
            FirstRequest::At(at) => now.duration_since(at) < WARM_UP_TIME,
            FirstRequest::Pending | FirstRequest::BeforeFirstUpdate => false,
        }
    }

    /// Returns the mean time that a request is in flight, in seconds, as of the last update.
    pub fn mean_request_time_s(&self) -> f64 {
        self.mean_request_time_s
    }

    /// Returns the previous estimate of a model or adapter.
    fn find(&self, model: &ModelId, adapter: Option<&AdapterId>) -> Option<&Estimate> {
        let key = (model, adapter);
        let found = self
            .estimates
            .binary_search_by(|estimate| (&estimate.model, estimate.adapter.as_ref()).cmp(&key));
        found.ok().map(|at| &self.estimates[at])
    }

    /// Returns the estimates as loads, with the requests that wait in `samples`.
    fn loads(&self, samples: &[Sample]) -> Vec<ModelLoad> {
        let mut loads: Vec<ModelLoad> = Vec::new();
        for estimate in &self.estimates {
            let key = (&estimate.model, estimate.adapter.as_ref());
            let sample = samples
                .binary_search_by(|sample| (&sample.model, sample.adapter.as_ref()).cmp(&key));
            let waiting = sample.map_or(0, |at| samples[at].waiting);
            match (&estimate.adapter, loads.last_mut()) {
                (None, _) => loads.push(ModelLoad {
                    model: estimate.model.clone(),
                    in_flight: estimate.in_flight,
                    waiting,
                    adapters: Vec::new(),
                }),
                (Some(adapter), Some(load)) if load.model == estimate.model => {
                    load.adapters.push(AdapterLoad {
                        adapter: adapter.clone(),
                        in_flight: estimate.in_flight,
                        waiting,
                    });
                }
                _ => {}
            }
        }
        loads
    }
}

/// Sums the demand by model and by adapter; returns the sums sorted.
fn collect_samples(demand: &[ModelDemand], runners: &[RunnerView]) -> Vec<Sample> {
    let mut samples: Vec<Sample> = Vec::new();
    let mut add = |model: &ModelId, adapter: Option<&AdapterId>, rate, waiting, in_flight| {
        let key = (model, adapter);
        let found =
            samples.binary_search_by(|sample| (&sample.model, sample.adapter.as_ref()).cmp(&key));
        let at = found.unwrap_or_else(|at| {
            let sample = Sample {
                model: model.clone(),
                adapter: adapter.cloned(),
                requests_per_s: 0.0,
                in_flight: 0.0,
                waiting: 0,
            };
            samples.insert(at, sample);
            at
        });
        let sample = &mut samples[at];
        sample.requests_per_s += rate;
        sample.waiting += waiting;
        sample.in_flight += f64::from(in_flight);
    };
    for row in demand {
        add(&row.model, None, row.requests_per_s, row.waiting, 0);
        if let Some(adapter) = &row.adapter {
            let adapter = Some(adapter);
            add(&row.model, adapter, row.requests_per_s, row.waiting, 0);
        }
    }
    for (model, adapter, count) in runners.iter().flat_map(|view| &view.in_use) {
        add(model, None, 0.0, 0, *count);
        if let Some(adapter) = adapter {
            add(model, Some(adapter), 0.0, 0, *count);
        }
    }
    samples
}

/// Returns the mean time that a request is in flight, in seconds, by Little's law.
fn mean_time_in_flight_s(samples: &[Sample]) -> f64 {
    let models = samples.iter().filter(|sample| sample.adapter.is_none());
    let (mut rate, mut in_flight) = (0.0, 0.0);
    for sample in models {
        rate += sample.requests_per_s;
        in_flight += sample.in_flight;
    }
    let (least_s, most_s) = REQUEST_TIME_BOUNDS_S;
    match rate > 0.0 {
        true => (in_flight / rate).clamp(least_s, most_s),
        false => 1.0,
    }
}

/// Returns the estimate that follows from an earlier one and a sample.
fn update_estimate(
    previous: Option<&Estimate>,
    sample: &Sample,
    time_s: f64,
    elapsed: Option<Duration>,
) -> Estimate {
    let average_rate = previous.map_or(0.0, |estimate| estimate.average_rate);
    let rise = (sample.requests_per_s - average_rate).max(0.0);
    // At the first update there is no earlier rate to compare with.
    let ahead = if elapsed.is_some() {
        rise * RATE_EXTRAPOLATION_S
    } else {
        0.0
    };
    let expected = (sample.requests_per_s + ahead) * time_s;
    let present = sample.in_flight + f64::from(sample.waiting);
    let target = present.max(expected);
    let before = previous.map_or(0.0, |estimate| estimate.in_flight);
    let time_constant = if target > before {
        RISE_TIME_CONSTANT
    } else {
        FALL_TIME_CONSTANT
    };
    Estimate {
        model: sample.model.clone(),
        adapter: sample.adapter.clone(),
        in_flight: approach(before, target, elapsed, time_constant),
        average_rate: approach(
            average_rate,
            sample.requests_per_s,
            elapsed,
            RATE_TIME_CONSTANT,
        ),
    }
}

/// Returns the estimate of a model or adapter that has no demand now.
fn decay_estimate(estimate: Estimate, elapsed: Option<Duration>) -> Estimate {
    Estimate {
        in_flight: approach(estimate.in_flight, 0.0, elapsed, FALL_TIME_CONSTANT),
        average_rate: approach(estimate.average_rate, 0.0, elapsed, RATE_TIME_CONSTANT),
        ..estimate
    }
}

/// Moves a value exponentially towards a target, with the given time constant; without an
/// earlier update the result is the target.
fn approach(before: f64, target: f64, elapsed: Option<Duration>, time_constant: Duration) -> f64 {
    match elapsed {
        None => target,
        Some(elapsed) => {
            let kept = (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp();
            target + (before - target) * kept
        }
    }
}
