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
const RISE: Duration = Duration::from_millis(400);
/// The time constant with which an estimate follows a fall.
const FALL: Duration = Duration::from_millis(2_500);
/// How far ahead a rising request rate is extrapolated, in seconds.
const AHEAD_S: f64 = 1.5;
/// The time constant of the average that a request rate is compared with to detect a rise.
const TREND: Duration = Duration::from_millis(1_000);
/// How long after the first request the shares of the models are still unreliable.
const BEGINNING: Duration = Duration::from_millis(2_000);
/// The lower and upper bound of the mean time that a request is in flight, in seconds.
const TIME_BOUNDS_S: (f64, f64) = (0.3, 4.0);

/// The estimate for a model, or for one of its adapters.
#[derive(Debug, Clone)]
struct Track {
    model: ModelId,
    adapter: Option<AdapterId>,
    in_flight: f64,
    slow_rate: f64,
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
    tracks: Vec<Track>,
    updated: Option<Instant>,
    mean_request_time_s: f64,
    beginning: Beginning,
}

/// When the first requests arrived.
#[derive(Debug, Clone, Copy, Default)]
enum Beginning {
    /// No request has arrived.
    #[default]
    Ahead,
    /// The first requests arrived at this instant.
    At(Instant),
    /// Requests were already in flight at the first update.
    Over,
}

impl LoadEstimator {
    /// Updates the estimates from the current demand; returns the loads sorted by model.
    pub fn update(
        &mut self,
        demand: &[ModelDemand],
        runners: &[RunnerView],
        now: Instant,
    ) -> Vec<ModelLoad> {
        let samples = collect(demand, runners);
        let time_s = mean_time_s(&samples);
        self.mean_request_time_s = time_s;
        let passed = self.updated.map(|updated| now.duration_since(updated));
        self.note_beginning(&samples, now);
        self.updated = Some(now);
        let mut tracks = Vec::with_capacity(samples.len());
        for sample in &samples {
            let known = self.find(&sample.model, sample.adapter.as_ref());
            tracks.push(advance(known, sample, time_s, passed));
        }
        for track in std::mem::take(&mut self.tracks) {
            let key = (&track.model, track.adapter.as_ref());
            let is_seen = samples
                .binary_search_by(|sample| (&sample.model, sample.adapter.as_ref()).cmp(&key));
            if is_seen.is_err() && track.in_flight > 0.01 {
                tracks.push(fade(track, passed));
            }
        }
        tracks.sort_by(|a, b| (&a.model, &a.adapter).cmp(&(&b.model, &b.adapter)));
        self.tracks = tracks;
        self.loads(&samples)
    }

    /// Records when the first requests arrived.
    fn note_beginning(&mut self, samples: &[Sample], now: Instant) {
        let asks = |sample: &Sample| sample.in_flight > 0.0 || sample.requests_per_s > 0.0;
        if !matches!(self.beginning, Beginning::Ahead) || !samples.iter().any(asks) {
            return;
        }
        self.beginning = match self.updated {
            Some(_) => Beginning::At(now),
            None => Beginning::Over,
        };
    }

    /// Returns whether the first requests arrived so recently that the shares of the models are
    /// not known yet.
    pub fn is_warming_up(&self, now: Instant) -> bool {
        match self.beginning {
            Beginning::At(at) => now.duration_since(at) < BEGINNING,
            Beginning::Ahead | Beginning::Over => false,
        }
    }

    /// Returns the mean time that a request is in flight, in seconds, as of the last update.
    pub fn mean_request_time_s(&self) -> f64 {
        self.mean_request_time_s
    }

    fn find(&self, model: &ModelId, adapter: Option<&AdapterId>) -> Option<&Track> {
        let key = (model, adapter);
        let found = self
            .tracks
            .binary_search_by(|track| (&track.model, track.adapter.as_ref()).cmp(&key));
        found.ok().map(|at| &self.tracks[at])
    }

    /// Returns the estimates as loads, with the requests that wait in `samples`.
    fn loads(&self, samples: &[Sample]) -> Vec<ModelLoad> {
        let mut loads: Vec<ModelLoad> = Vec::new();
        for track in &self.tracks {
            let key = (&track.model, track.adapter.as_ref());
            let sample = samples
                .binary_search_by(|sample| (&sample.model, sample.adapter.as_ref()).cmp(&key));
            let waiting = sample.map_or(0, |at| samples[at].waiting);
            match (&track.adapter, loads.last_mut()) {
                (None, _) => loads.push(ModelLoad {
                    model: track.model.clone(),
                    in_flight: track.in_flight,
                    waiting,
                    adapters: Vec::new(),
                }),
                (Some(adapter), Some(load)) if load.model == track.model => {
                    load.adapters.push(AdapterLoad {
                        adapter: adapter.clone(),
                        in_flight: track.in_flight,
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
fn collect(demand: &[ModelDemand], runners: &[RunnerView]) -> Vec<Sample> {
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
fn mean_time_s(samples: &[Sample]) -> f64 {
    let models = samples.iter().filter(|sample| sample.adapter.is_none());
    let (mut rate, mut in_flight) = (0.0, 0.0);
    for sample in models {
        rate += sample.requests_per_s;
        in_flight += sample.in_flight;
    }
    let (least_s, most_s) = TIME_BOUNDS_S;
    match rate > 0.0 {
        true => (in_flight / rate).clamp(least_s, most_s),
        false => 1.0,
    }
}

/// Returns the estimate that follows from an earlier one and a sample.
fn advance(known: Option<&Track>, sample: &Sample, time_s: f64, passed: Option<Duration>) -> Track {
    let slow_rate = known.map_or(0.0, |track| track.slow_rate);
    let rise = (sample.requests_per_s - slow_rate).max(0.0);
    // At the first update there is no earlier rate to compare with.
    let ahead = if passed.is_some() {
        rise * AHEAD_S
    } else {
        0.0
    };
    let expected = (sample.requests_per_s + ahead) * time_s;
    let present = sample.in_flight + f64::from(sample.waiting);
    let target = present.max(expected);
    let before = known.map_or(0.0, |track| track.in_flight);
    let pace = if target > before { RISE } else { FALL };
    Track {
        model: sample.model.clone(),
        adapter: sample.adapter.clone(),
        in_flight: blend(before, target, passed, pace),
        slow_rate: blend(slow_rate, sample.requests_per_s, passed, TREND),
    }
}

/// Returns the estimate of a model or adapter that has no demand now.
fn fade(track: Track, passed: Option<Duration>) -> Track {
    Track {
        in_flight: blend(track.in_flight, 0.0, passed, FALL),
        slow_rate: blend(track.slow_rate, 0.0, passed, TREND),
        ..track
    }
}

/// Moves a value exponentially towards a target, with `pace` as the time constant; without an
/// earlier update the result is the target.
fn blend(before: f64, target: f64, passed: Option<Duration>, pace: Duration) -> f64 {
    match passed {
        None => target,
        Some(passed) => {
            let kept = (-passed.as_secs_f64() / pace.as_secs_f64()).exp();
            target + (before - target) * kept
        }
    }
}
