//! The requests of a day by class and model, second by second.

use crate::site::{Class, Day, Disruption, Engine, Model, Shape, Site, Stream};

/// The requests of one class for one model within one second.
#[derive(Debug, Clone)]
pub struct RequestGroup {
    pub second: usize,
    pub class: usize,
    /// The model; `None` for a plain service.
    pub model: Option<usize>,
    /// The value if all requests are in time.
    pub worth: f64,
    /// The share of the value that is left if the requests are late.
    pub late_share: f64,
    /// The runner-seconds that all requests take; 0 for a plain service.
    pub work_s: f64,
    /// The share of requests that fail in any case.
    pub lost: f64,
    /// The share of requests that can only be late.
    pub only_late: f64,
}

/// Returns the duration of the traffic, in seconds.
pub fn length_s(site: &Site, day: &Day) -> f64 {
    let recovery_s = day
        .closing
        .as_ref()
        .map_or(0.0, |closing| closing.down_s + site.bounds.recover_s);
    site.length_s + recovery_s
}

/// Returns all requests of a day.
pub fn request_groups(site: &Site, day: &Day) -> Vec<RequestGroup> {
    let seconds = length_s(site, day).ceil() as usize;
    let mut groups = Vec::new();
    for second in 0..seconds {
        for (position, class) in site.classes.iter().enumerate() {
            let requests = requests(day, class, second as f64 + 0.5);
            let lost = lost(day, class, second as f64 + 0.5);
            let only_late = only_late(site, day, class, second as f64);
            let group = |model: Option<usize>, requests: f64, work_s: f64| RequestGroup {
                second,
                class: position,
                model,
                worth: requests * class.worth,
                late_share: class.late_worth / class.worth,
                work_s,
                lost: (lost + only_late.1).min(1.0),
                only_late: only_late.0.min(1.0 - (lost + only_late.1).min(1.0)),
            };
            match (&class.stream, site.model_service()) {
                (Some(stream), Some((_, engine, _))) => {
                    for (model, share) in models(site, day, class, stream, second as f64 + 0.5) {
                        let requested = requests * share;
                        let work_s = requested * work_s(engine, stream, &site.models[model]);
                        groups.push(group(Some(model), requested, work_s));
                    }
                }
                _ => groups.push(group(None, requests, 0.0)),
            }
        }
    }
    groups
}

/// Returns the requests per second of a class.
fn requests(day: &Day, class: &Class, at_s: f64) -> f64 {
    let usual: f64 = day
        .traffic
        .iter()
        .map(|zone| {
            let all: f64 = zone.mix.values().sum();
            let share = zone.mix.get(&class.name).copied().unwrap_or(0.0) / all;
            zone.per_s * share * traffic_factor(&zone.shape, at_s)
        })
        .sum();
    let bursts = day.faults.iter().filter(|fault| {
        let applies = fault.class.as_ref().is_none_or(|name| *name == class.name);
        fault.kind == "burst" && applies && fault.holds(at_s)
    });
    usual * bursts.map(|burst| burst.x.unwrap_or(1.0)).product::<f64>()
}

/// Returns the factor of the periodic change in traffic.
fn traffic_factor(shape: &Shape, at_s: f64) -> f64 {
    let turns = at_s / shape.period_s + shape.phase;
    1.0 + shape.swing * (turns * std::f64::consts::TAU).sin()
}

/// Returns the models that a class requests, with their shares.
fn models(site: &Site, day: &Day, class: &Class, stream: &Stream, at_s: f64) -> Vec<(usize, f64)> {
    let own = day.classes.iter().find(|own| own.name == class.name);
    let only = own.map_or(&stream.only, |own| &own.stream.only);
    let Some(now) = stream.only_now else {
        let weights: Vec<f64> = (1..=only.len())
            .map(|rank| (rank as f64).powf(-stream.model_skew))
            .collect();
        let sum: f64 = weights.iter().sum();
        return only
            .iter()
            .copied()
            .zip(weights.iter().map(|weight| weight / sum))
            .collect();
    };
    let ranks: Vec<f64> = (0..now).map(|rank| site.models[rank].share).collect();
    let mut shares = vec![0.0; site.models.len()];
    add_ranks(&mut shares, only, &ranks, 0, 1.0);
    let mut begin = 0;
    let shifts = day.plan.iter().filter(|plan| plan.kind == "model_shift");
    let mut shifts: Vec<&Disruption> = shifts.collect();
    shifts.sort_by(|one, other| one.at.total_cmp(&other.at));
    for shift in shifts {
        let moved = ((at_s - shift.at) / shift.for_s).clamp(0.0, 1.0);
        shares.iter_mut().for_each(|share| *share *= 1.0 - moved);
        begin += shift.count.unwrap_or(1);
        add_ranks(&mut shares, only, &ranks, begin, moved);
    }
    let named = shares.into_iter().enumerate();
    named.filter(|(_, share)| *share > 1e-6).collect()
}

/// Adds the shares of the ranks, starting with the model at `begin` for the first rank.
fn add_ranks(shares: &mut [f64], only: &[usize], ranks: &[f64], begin: usize, weight: f64) {
    for (rank, share) in ranks.iter().enumerate() {
        shares[only[(begin + rank) % only.len()]] += weight * share;
    }
}

/// Returns the runner-seconds of one request in a full batch.
///
/// Shared parts of the prompt count as cached.
pub fn work_s(engine: &Engine, stream: &Stream, model: &Model) -> f64 {
    let tokens = stream.pieces.mean * engine.stride;
    let shared: f64 = stream.chain.iter().map(|part| part.tokens.mean).sum();
    let own = stream.prompt_tokens.mean;
    let pairs_m = own * (shared + own / 2.0) / 1e6;
    let reading_ms = own / engine.prefill_tokens_per_ms + engine.pairs_ms_per_m * pairs_m;
    let context = shared + own + tokens / 2.0;
    let running = engine.batch.min(engine.kv_tokens / context);
    let step_ms = engine.step_ms
        + engine.step_ms_per_slot * running
        + engine.context_ms_per_k * running * context / 1e3;
    (reading_ms + tokens * step_ms / running) * model.pace / 1e3
}

/// Returns the share of requests that fail whatever the system does.
///
/// Retryable requests are attempted as often as their route and their caller allow.
fn lost(day: &Day, class: &Class, at_s: f64) -> f64 {
    let applies = |fault: &&Disruption| {
        let kind = matches!(fault.kind.as_str(), "answer_lost" | "garble" | "srv_grey");
        let service = fault
            .service
            .as_ref()
            .is_none_or(|name| *name == class.service);
        kind && service && fault.holds(at_s)
    };
    let good: f64 = day
        .faults
        .iter()
        .filter(applies)
        .map(|fault| {
            let (runners, requests) = match fault.kind.as_str() {
                "srv_grey" => (0.15, 0.4),
                "garble" => (0.5, 0.02),
                _ => (0.5, 0.03),
            };
            let runners = fault.share.unwrap_or(runners);
            // Requests avoid faulty runners unless all runners are faulty.
            let runners = if fault.kind == "srv_grey" && runners < 1.0 {
                0.0
            } else {
                runners
            };
            1.0 - runners * fault.x.unwrap_or(requests)
        })
        .product();
    let failing = 1.0 - good * (1.0 - class.error_share);
    let resumable = class.stream.as_ref().is_some_and(|stream| stream.resume);
    if class.kind == "safe" || resumable {
        failing.powi(class.attempts * (1 + class.retries))
    } else {
        failing
    }
}

/// Returns the shares of a second's requests that can only be late and that are lost because all
/// machines of the system go down at the end.
fn only_late(site: &Site, day: &Day, class: &Class, second: f64) -> (f64, f64) {
    let Some(closing) = &day.closing else {
        return (0.0, 0.0);
    };
    let overlap = |from: f64, until: f64| (until.min(second + 1.0) - from.max(second)).max(0.0);
    let end = site.length_s;
    let down = overlap(end, end + closing.down_s);
    let (Some(stream), Some((_, engine, _))) = (&class.stream, site.model_service()) else {
        return (down, 0.0);
    };
    let longest = site
        .models
        .iter()
        .map(|model| model.pace)
        .fold(f64::INFINITY, f64::min);
    let run_s = stream.pieces.mean * engine.stride * engine.step_ms * longest / 1e3;
    let running = overlap(end - run_s, end);
    if stream.resume {
        (down + running, 0.0)
    } else {
        (down, running)
    }
}
