//! A retry budget, which prevents retries from amplifying an outage.

use {
    crate::{routing::stable_hash, units::ServiceName},
    rand::{Rng, RngExt},
    std::{
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// The number of shards that the services are spread over, each with its own lock.
const SHARD_COUNT: usize = 16;
/// Retries that a service may make before its first request.
const INITIAL_RETRIES: f64 = 10.0;
/// The most retries that a service can accumulate.
const ACCUMULATED_RETRIES_MAX: f64 = 100.0;
/// The longest backoff before the first retry.
const BACKOFF_FIRST_MAX_MS: u64 = 20;
/// The longest backoff before any retry.
const BACKOFF_MAX_MS: u64 = 1_000;
/// The number of doublings after which the backoff has reached its bound.
const BACKOFF_DOUBLINGS_MAX: u32 = 10;

/// Token buckets of retries, one per service: each request adds a fraction of a retry.
#[derive(Debug)]
pub struct RetryBudget {
    retries_per_request: f64,
    shards: Vec<Mutex<Vec<(ServiceName, f64)>>>,
}

impl RetryBudget {
    /// Creates budgets of `percent` retries per hundred requests.
    pub fn new(percent: u32) -> Self {
        Self {
            retries_per_request: f64::from(percent) / 100.0,
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
        }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&self, service: &ServiceName) {
        self.with_retries(service, |retries| {
            *retries = (*retries + self.retries_per_request).min(ACCUMULATED_RETRIES_MAX);
        });
    }

    /// Takes a retry from the budget and returns the backoff before that retry, or `None` when the
    /// budget is exhausted. The first retry has `attempt` 1.
    pub fn try_retry(
        &self,
        service: &ServiceName,
        attempt: u32,
        rng: &mut impl Rng,
    ) -> Option<Duration> {
        self.with_retries(service, |retries| {
            if *retries < 1.0 {
                return None;
            }
            *retries -= 1.0;
            Some(())
        })?;
        Some(backoff(attempt, rng))
    }

    fn with_retries<T>(&self, service: &ServiceName, change: impl FnOnce(&mut f64) -> T) -> T {
        let index = stable_hash(service.as_str()) as usize % SHARD_COUNT;
        let mut shard = self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let position = match shard.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(position) => position,
            Err(position) => {
                shard.insert(position, (service.clone(), INITIAL_RETRIES));
                position
            }
        };
        change(&mut shard[position].1)
    }
}

/// Draws an exponential backoff with full jitter.
fn backoff(attempt: u32, rng: &mut impl Rng) -> Duration {
    let doublings = attempt.saturating_sub(1).min(BACKOFF_DOUBLINGS_MAX);
    let max_ms = (BACKOFF_FIRST_MAX_MS << doublings).min(BACKOFF_MAX_MS);
    Duration::from_millis(rng.random_range(0..=max_ms))
}
