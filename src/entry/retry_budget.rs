//! Limits retries to a share of the requests of a service.

use {
    rand::RngExt,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// The retries that a service starts with.
const SAVED_AT_START: f64 = 10.0;

/// The most retries that can be saved up.
const SAVED_MAX: f64 = 100.0;

/// The longest wait before the first retry; each further one may wait twice as long.
const BACKOFF: Duration = Duration::from_millis(20);

/// The longest wait before any retry.
const BACKOFF_MAX: Duration = Duration::from_millis(500);

/// The retry budgets of all services, as token buckets that requests fill.
#[derive(Debug)]
pub struct RetryBudgets {
    per_request: f64,
    buckets: Mutex<Vec<(String, f64)>>,
}

impl RetryBudgets {
    /// Allows this many retries per hundred requests.
    pub fn new(percent: u32) -> Self {
        Self {
            per_request: f64::from(percent) / 100.0,
            buckets: Mutex::default(),
        }
    }

    /// Counts a request of a service.
    pub fn deposit(&self, service: &str) {
        let per_request = self.per_request;
        self.change(service, |saved| {
            *saved = (*saved + per_request).min(SAVED_MAX)
        });
    }

    /// Takes a retry from the budget of a service; returns whether there was one.
    pub fn withdraw(&self, service: &str) -> bool {
        self.change(service, |saved| {
            let allowed = *saved >= 1.0;
            if allowed {
                *saved -= 1.0;
            }
            allowed
        })
    }

    fn change<T>(&self, service: &str, change: impl FnOnce(&mut f64) -> T) -> T {
        let mut buckets = self.buckets();
        let position = buckets.binary_search_by(|(found, _)| found.as_str().cmp(service));
        let position = match position {
            Ok(position) => position,
            Err(position) => {
                buckets.insert(position, (service.to_owned(), SAVED_AT_START));
                position
            }
        };
        change(&mut buckets[position].1)
    }

    fn buckets(&self) -> MutexGuard<'_, Vec<(String, f64)>> {
        self.buckets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Draws the wait before a retry; `attempt` counts from 0.
pub fn backoff(attempt: u32) -> Duration {
    let longest = BACKOFF.saturating_mul(1 << attempt.min(8)).min(BACKOFF_MAX);
    longest.mul_f64(rand::rng().random::<f64>())
}
