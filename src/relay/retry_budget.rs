//! Bounds the retries of each service, relative to its requests in a sliding window.

use {
    crate::{node::Bounds, traffic::ServiceId},
    std::{
        collections::VecDeque,
        sync::{Mutex, OnceLock, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
};

/// The share of the platform's bound that all nodes use together.
const BUDGET_SHARE: f64 = 0.8;

/// The share of the slack that a node may use by the end of the first window after a restart.
const RESTART_SLACK_SHARE: f64 = 0.2;

/// The number of buckets of a window.
const WINDOW_BUCKETS: u32 = 20;

/// The counts of a service in one bucket of the window.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    started_at: Instant,
    requests: u32,
    retries: u32,
}

/// The buckets of a service, oldest first.
#[derive(Debug)]
struct ServiceCounts {
    service: ServiceId,
    buckets: VecDeque<Bucket>,
}

/// The bounds of a service's retries.
#[derive(Debug, Clone, Copy)]
struct RetryLimits {
    ratio: f64,
    slack: f64,
    window: Duration,
}

impl RetryLimits {
    fn new(bounds: &Bounds) -> Self {
        Self {
            ratio: bounds.retry_budget_ratio,
            slack: bounds.retry_budget_slack,
            window: Duration::from_secs_f64(bounds.budget_window_s.max(0.0)),
        }
    }
}

/// This node's share of the retries that each service may get in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    limits: Mutex<RetryLimits>,
    /// The start of this process, if an earlier process may have used the slack.
    restarted_at: OnceLock<Instant>,
    services: Mutex<Vec<ServiceCounts>>,
}

impl RetryBudget {
    /// Creates a budget with the platform's bounds.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            limits: Mutex::new(RetryLimits::new(bounds)),
            restarted_at: OnceLock::new(),
            services: Mutex::default(),
        }
    }

    /// Limits the slack for one window, since an earlier process of this node may have used it.
    pub fn limit_slack_after_restart(&self) {
        self.restarted_at.get_or_init(Instant::now);
    }

    /// Returns the share of the slack that this node may use, which grows during the first window
    /// after a restart.
    fn slack_share(&self, window: Duration, now: Instant) -> f64 {
        let restarted_at = self.restarted_at.get();
        let age = restarted_at.map(|at| now.saturating_duration_since(*at));
        match age.filter(|age| *age < window) {
            Some(age) => RESTART_SLACK_SHARE * age.as_secs_f64() / window.as_secs_f64(),
            None => BUDGET_SHARE,
        }
    }

    /// Applies changed bounds; the counts stay.
    pub fn set_bounds(&self, bounds: &Bounds) {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner) = RetryLimits::new(bounds);
    }

    fn limits(&self) -> RetryLimits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a caller's request.
    pub fn count_request(&self, service: &ServiceId) {
        self.with_buckets(service, |buckets| {
            if let Some(bucket) = buckets.back_mut() {
                bucket.requests += 1;
            }
        });
    }

    /// Counts a retry, unless this node's share among `nodes` nodes is used up.
    ///
    /// Returns whether the retry is allowed.
    pub fn try_retry(&self, service: &ServiceId, nodes: usize) -> bool {
        let limits = self.limits();
        let bucket_length = limits.window / WINDOW_BUCKETS;
        self.with_buckets(service, |buckets| {
            let Some(now) = buckets.back().map(|bucket| bucket.started_at) else {
                return false;
            };
            let recent = |bucket: &&Bucket| {
                now.duration_since(bucket.started_at) + bucket_length <= limits.window
            };
            let requests: u32 = buckets
                .iter()
                .filter(recent)
                .map(|bucket| bucket.requests)
                .sum();
            let retries: u32 = buckets.iter().map(|bucket| bucket.retries).sum();
            let ratio_share = BUDGET_SHARE * limits.ratio * f64::from(requests);
            let slack = limits.slack / nodes.max(1) as f64;
            let slack = slack * self.slack_share(limits.window, now);
            if f64::from(retries + 1) > ratio_share + slack {
                return false;
            }
            if let Some(bucket) = buckets.back_mut() {
                bucket.retries += 1;
            }
            true
        })
    }

    /// Calls `act` with the buckets of a service's window, of which the last is the current one.
    fn with_buckets<T>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut VecDeque<Bucket>) -> T,
    ) -> T {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let found = services.binary_search_by(|counts| counts.service.cmp(service));
        let position = found.unwrap_or_else(|position| {
            let counts = ServiceCounts {
                service: service.clone(),
                buckets: VecDeque::new(),
            };
            services.insert(position, counts);
            position
        });
        let buckets = &mut services[position].buckets;
        advance_window(buckets, self.limits().window, Instant::now());
        act(buckets)
    }
}

/// Removes buckets that are entirely outside the window and begins a new one when due.
fn advance_window(buckets: &mut VecDeque<Bucket>, window: Duration, now: Instant) {
    let bucket_length = window / WINDOW_BUCKETS;
    let over = window + bucket_length;
    while buckets
        .front()
        .is_some_and(|bucket| now.duration_since(bucket.started_at) > over)
    {
        buckets.pop_front();
    }
    let begin = buckets
        .back()
        .is_none_or(|bucket| now.duration_since(bucket.started_at) >= bucket_length);
    if begin {
        buckets.push_back(Bucket {
            started_at: now,
            requests: 0,
            retries: 0,
        });
    }
}
