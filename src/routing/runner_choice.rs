//! The choice of a runner for one request.

use {
    super::{LoadTracker, RouteRunner, RouteTable, rendezvous::rendezvous_weight_of_hash},
    crate::units::{AdapterName, ModelName, RunnerName},
    rand::{Rng, RngExt},
    std::net::SocketAddr,
    tokio::time::Instant,
};

/// Requests per accelerator from which a runner counts as overloaded, so that a copy in another
/// data centre is considered.
pub const OVERLOAD_REQUESTS_PER_ACCELERATOR: f64 = 24.0;
/// The factor by which the load of a prefix-affine runner may exceed the mean.
const AFFINE_LOAD_FACTOR: f64 = 1.25;
/// Requests per accelerator that a prefix-affine runner may have on top of that factor.
const AFFINE_LOAD_SLACK: f64 = 2.0;

/// The properties of a request that the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// The requested model.
    pub model: &'a ModelName,
    /// The requested adapter, if any.
    pub adapter: Option<&'a AdapterName>,
    /// Hashes of the prompt's prefixes, the shortest first.
    pub prefix_hashes: &'a [u64],
    /// Runners that were already tried.
    pub excluded: &'a [RunnerName],
}

/// The chosen runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerChoice {
    /// The runner's name.
    pub runner: RunnerName,
    /// The address that the runner listens on.
    pub address: SocketAddr,
    /// Whether the runner has the requested adapter in memory; true if none is requested.
    pub adapter_resident: bool,
}

/// A runner with the load and state that the choice depends on.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    runner: &'a RouteRunner,
    requests_per_accelerator: f64,
    failed_recently: bool,
    adapter_resident: bool,
}

/// Chooses the runner for a request, or returns `None` when no copy accepts requests.
///
/// Runners that failed recently are used only if no other one is left. Among the rest, runners
/// with the adapter in memory are preferred, then runners in this data centre, unless all
/// preferred ones are overloaded. Of the remaining runners, the prefix-affine one is chosen
/// while its load is within a bound of the mean, else the less loaded of two.
pub fn choose_runner(
    table: &RouteTable,
    load_tracker: &LoadTracker,
    request: &RouteRequest<'_>,
    now: Instant,
    rng: &mut impl Rng,
) -> Option<RunnerChoice> {
    let mut candidates: Vec<_> = table
        .candidates(request.model)
        .filter(|runner| !request.excluded.contains(&runner.name))
        .map(|runner| Candidate::new(runner, load_tracker, request, now))
        .collect();
    narrow(&mut candidates, |candidate| !candidate.failed_recently);
    narrow_unless_overloaded(&mut candidates, |candidate| candidate.adapter_resident);
    narrow_unless_overloaded(&mut candidates, |candidate| candidate.runner.local);
    let picked = match request.prefix_hashes.first() {
        Some(&prefix) => pick_affine(&candidates, prefix),
        None => pick_random(&candidates, rng),
    };
    picked.map(Candidate::into_choice)
}

impl<'a> Candidate<'a> {
    fn new(
        runner: &'a RouteRunner,
        load_tracker: &LoadTracker,
        request: &RouteRequest<'_>,
        now: Instant,
    ) -> Self {
        let estimate = load_tracker.load_estimate(&runner.name, now);
        Self {
            runner,
            requests_per_accelerator: f64::from(estimate.requests) / f64::from(runner.accelerators),
            failed_recently: estimate.failed_recently,
            adapter_resident: request.adapter.is_none_or(|adapter| runner.holds(adapter)),
        }
    }

    fn into_choice(self) -> RunnerChoice {
        RunnerChoice {
            runner: self.runner.name.clone(),
            address: self.runner.address,
            adapter_resident: self.adapter_resident,
        }
    }

    fn overloaded(&self) -> bool {
        self.requests_per_accelerator >= OVERLOAD_REQUESTS_PER_ACCELERATOR
    }
}

/// Retains only the preferred candidates if there are any.
fn narrow(candidates: &mut Vec<Candidate<'_>>, preferred: impl Fn(&Candidate<'_>) -> bool) {
    if candidates.iter().any(&preferred) {
        candidates.retain(preferred);
    }
}

/// Retains only the preferred candidates unless all of them are overloaded.
fn narrow_unless_overloaded(
    candidates: &mut Vec<Candidate<'_>>,
    preferred: impl Fn(&Candidate<'_>) -> bool,
) {
    let usable = |candidate: &Candidate<'_>| preferred(candidate) && !candidate.overloaded();
    if candidates.iter().any(usable) {
        candidates.retain(preferred);
    }
}

/// Returns the first runner in the prefix's rendezvous order if its load is within the bound,
/// else the less loaded of the first two.
fn pick_affine<'a>(candidates: &[Candidate<'a>], prefix: u64) -> Option<Candidate<'a>> {
    let weight =
        |candidate: &Candidate<'_>| rendezvous_weight_of_hash(prefix, candidate.runner.name_hash);
    let first = candidates
        .iter()
        .max_by_key(|candidate| weight(candidate))?;
    let others = candidates
        .iter()
        .filter(|candidate| candidate.runner.name != first.runner.name);
    let Some(second) = others.max_by_key(|candidate| weight(candidate)) else {
        return Some(*first);
    };
    let total: f64 = candidates.iter().map(|c| c.requests_per_accelerator).sum();
    let mean = total / candidates.len() as f64;
    let bound = mean * AFFINE_LOAD_FACTOR + AFFINE_LOAD_SLACK;
    if first.requests_per_accelerator <= bound {
        return Some(*first);
    }
    Some(less_loaded(*first, *second))
}

/// Returns the less loaded of two candidates drawn at random.
fn pick_random<'a>(candidates: &[Candidate<'a>], rng: &mut impl Rng) -> Option<Candidate<'a>> {
    if candidates.len() < 2 {
        return candidates.first().copied();
    }
    let first = rng.random_range(0..candidates.len());
    let step = rng.random_range(1..candidates.len());
    let second = (first + step) % candidates.len();
    Some(less_loaded(candidates[first], candidates[second]))
}

fn less_loaded<'a>(first: Candidate<'a>, second: Candidate<'a>) -> Candidate<'a> {
    if second.requests_per_accelerator < first.requests_per_accelerator {
        second
    } else {
        first
    }
}
