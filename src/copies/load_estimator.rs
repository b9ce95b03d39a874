//! Estimates the load that each model's requests bring.

use {
    super::{AdapterLoad, ModelLoad},
    crate::{
        dispatch::{ModelDemand, RunnerView},
        traffic::{AdapterId, ModelId},
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// How fast an estimate follows a rise.
const RISE: Duration = Duration::from_millis(400);
/// How fast an estimate follows a fall.
const FALL: Duration = Duration::from_millis(2_500);
/// How far ahead a rising rate is extended.
const AHEAD_S: f64 = 1.5;
/// The span over which a rise of the rate shows.
const TREND: Duration = Duration::from_millis(1_000);
/// How long the first requests say little of what follows.
const BEGINNING: Duration = Duration::from_millis(2_000);
/// The bounds of the mean time that a request is in flight, in seconds.
const TIME_BOUNDS_S: (f64, f64) = (0.3, 4.0);

/// The estimate for a model, or for one of its adapters.
#[derive(Debug, Clone)]
struct Track {
    model: ModelId,
    adapter: Option<AdapterId>,
    in_flight: f64,
    slow_rate: f64,
}

/// What one look shows of a model or adapter.
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
    /// Sorted by model and adapter; `None` stands for the model as a whole.
    tracks: Vec<Track>,
    updated: Option<Instant>,
    run_time_s: f64,
    beginning: Beginning,
}

/// What is known of the start of the requests.
#[derive(Debug, Clone, Copy, Default)]
enum Beginning {
    /// No request was seen.
    #[default]
    Ahead,
    /// The first requests came at the instant.
    At(Instant),
    /// Requests were under way when first looked at.
    Over,
}

impl LoadEstimator {
    /// Works in the present demand, and returns the loads sorted by model.
    pub fn update(
        &mut self,
        demand: &[ModelDemand],
        runners: &[RunnerView],
        now: Instant,
    ) -> Vec<ModelLoad> {
        let samples = collect(demand, runners);
        let time_s = mean_time_s(&samples);
        self.run_time_s = time_s;
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

    /// Returns whether the first requests have only begun to come, so that the shares of the
    /// models are not known yet.
    pub fn is_beginning(&self, now: Instant) -> bool {
        match self.beginning {
            Beginning::At(at) => now.duration_since(at) < BEGINNING,
            Beginning::Ahead | Beginning::Over => false,
        }
    }

    /// Returns the mean time that a request is in flight, in seconds, as last worked in.
    pub fn run_time_s(&self) -> f64 {
        self.run_time_s
    }

    fn find(&self, model: &ModelId, adapter: Option<&AdapterId>) -> Option<&Track> {
        let key = (model, adapter);
        let found = self
            .tracks
            .binary_search_by(|track| (&track.model, track.adapter.as_ref()).cmp(&key));
        found.ok().map(|at| &self.tracks[at])
    }

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

/// Sums up the demand by model and by adapter, sorted.
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

/// Returns the mean time that a request is in flight, from the rate and the number in flight.
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

fn advance(known: Option<&Track>, sample: &Sample, time_s: f64, passed: Option<Duration>) -> Track {
    let slow_rate = known.map_or(0.0, |track| track.slow_rate);
    let rise = (sample.requests_per_s - slow_rate).max(0.0);
    // Right after a start there is no past to compare with.
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

fn fade(track: Track, passed: Option<Duration>) -> Track {
    Track {
        in_flight: blend(track.in_flight, 0.0, passed, FALL),
        slow_rate: blend(track.slow_rate, 0.0, passed, TREND),
        ..track
    }
}

/// Moves a value towards a target, by the share of `pace` that has passed.
fn blend(before: f64, target: f64, passed: Option<Duration>, pace: Duration) -> f64 {
    match passed {
        None => target,
        Some(passed) => {
            let kept = (-passed.as_secs_f64() / pace.as_secs_f64()).exp();
            target + (before - target) * kept
        }
    }
}
