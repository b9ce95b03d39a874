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
const USED_SHARE: f64 = 0.8;

/// The share of the slack that a node may use by the end of the first window after a restart.
const FIRST_SLACK_SHARE: f64 = 0.2;

/// The number of buckets of a window.
const PARTS: u32 = 20;

/// The counts of a service in one bucket of the window.
#[derive(Debug, Clone, Copy)]
struct Part {
    began: Instant,
    requests: u32,
    repeats: u32,
}

/// The buckets of a service, oldest first.
#[derive(Debug)]
struct ServiceCounts {
    service: ServiceId,
    parts: VecDeque<Part>,
}

/// The bounds of a service's retries.
#[derive(Debug, Clone, Copy)]
struct Limits {
    ratio: f64,
    slack: f64,
    window: Duration,
}

impl Limits {
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
    limits: Mutex<Limits>,
    /// The start of this process, if an earlier process may have used the slack.
    restarted_at: OnceLock<Instant>,
    services: Mutex<Vec<ServiceCounts>>,
}

impl RetryBudget {
    /// Creates a budget with the platform's bounds.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            limits: Mutex::new(Limits::new(bounds)),
            restarted_at: OnceLock::new(),
            services: Mutex::default(),
        }
    }

    /// Limits the slack for one window, since an earlier process of this node may have used it.
    pub fn spare_slack(&self) {
        self.restarted_at.get_or_init(Instant::now);
    }

    /// Returns the share of the slack that this node may use, which grows during the first window
    /// after a restart.
    fn slack_share(&self, window: Duration, now: Instant) -> f64 {
        let restarted_at = self.restarted_at.get();
        let age = restarted_at.map(|at| now.saturating_duration_since(*at));
        match age.filter(|age| *age < window) {
            Some(age) => FIRST_SLACK_SHARE * age.as_secs_f64() / window.as_secs_f64(),
            None => USED_SHARE,
        }
    }

    /// Applies changed bounds; the counts stay.
    pub fn set_bounds(&self, bounds: &Bounds) {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner) = Limits::new(bounds);
    }

    fn limits(&self) -> Limits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a caller's request.
    pub fn count_request(&self, service: &ServiceId) {
        self.with_parts(service, |parts| {
            if let Some(part) = parts.back_mut() {
                part.requests += 1;
            }
        });
    }

    /// Counts a retry, unless this node's share among `nodes` nodes is used up.
    ///
    /// Returns whether the retry is allowed.
    pub fn try_repeat(&self, service: &ServiceId, nodes: usize) -> bool {
        let limits = self.limits();
        let part_length = limits.window / PARTS;
        self.with_parts(service, |parts| {
            let Some(now) = parts.back().map(|part| part.began) else {
                return false;
            };
            let recent =
                |part: &&Part| now.duration_since(part.began) + part_length <= limits.window;
            let requests: u32 = parts.iter().filter(recent).map(|part| part.requests).sum();
            let repeats: u32 = parts.iter().map(|part| part.repeats).sum();
            let earned = USED_SHARE * limits.ratio * f64::from(requests);
            let slack = limits.slack / nodes.max(1) as f64;
            let slack = slack * self.slack_share(limits.window, now);
            if f64::from(repeats + 1) > earned + slack {
                return false;
            }
            if let Some(part) = parts.back_mut() {
                part.repeats += 1;
            }
            true
        })
    }

    /// Calls `act` with the buckets of a service's window, of which the last is the current one.
    fn with_parts<T>(&self, service: &ServiceId, act: impl FnOnce(&mut VecDeque<Part>) -> T) -> T {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let found = services.binary_search_by(|counts| counts.service.cmp(service));
        let position = found.unwrap_or_else(|position| {
            let counts = ServiceCounts {
                service: service.clone(),
                parts: VecDeque::new(),
            };
            services.insert(position, counts);
            position
        });
        let parts = &mut services[position].parts;
        move_on(parts, self.limits().window, Instant::now());
        act(parts)
    }
}

/// Removes buckets that are entirely outside the window and begins a new one when due.
fn move_on(parts: &mut VecDeque<Part>, window: Duration, now: Instant) {
    let part_length = window / PARTS;
    let over = window + part_length;
    while parts
        .front()
        .is_some_and(|part| now.duration_since(part.began) > over)
    {
        parts.pop_front();
    }
    let begin = parts
        .back()
        .is_none_or(|part| now.duration_since(part.began) >= part_length);
    if begin {
        parts.push_back(Part {
            began: now,
            requests: 0,
            repeats: 0,
        });
    }
}
