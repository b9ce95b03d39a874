//! Bounds how often requests are sent to runners again.

use {
    crate::{node::Bounds, traffic::ServiceId},
    std::{
        collections::VecDeque,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
};

/// The share of the platform's bound that the nodes use together.
const USED_SHARE: f64 = 0.8;

/// The parts into which the span is cut for counting.
const PARTS: u32 = 20;

/// What a service got in one part of the span.
#[derive(Debug, Clone, Copy)]
struct Part {
    began: Instant,
    requests: u32,
    repeats: u32,
}

#[derive(Debug)]
struct ServiceCounts {
    service: ServiceId,
    parts: VecDeque<Part>,
}

/// What bounds the further tries of a service.
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

/// This node's share of the further tries that services may get in a sliding span.
#[derive(Debug)]
pub struct RetryBudget {
    limits: Mutex<Limits>,
    services: Mutex<Vec<ServiceCounts>>,
}

impl RetryBudget {
    /// Makes a budget by the platform's bounds.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            limits: Mutex::new(Limits::new(bounds)),
            services: Mutex::default(),
        }
    }

    /// Applies other bounds; what was counted stays.
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

    /// Counts a further try, unless the share of one of `nodes` nodes is used up.
    ///
    /// Returns whether the try may be made.
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
            let share = limits.ratio * f64::from(requests) + limits.slack / nodes.max(1) as f64;
            if f64::from(repeats + 1) > USED_SHARE * share {
                return false;
            }
            if let Some(part) = parts.back_mut() {
                part.repeats += 1;
            }
            true
        })
    }

    /// Calls `act` with the parts of the span, the newest of which is the present one.
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

/// Drops parts that are wholly out of the span and begins the present one.
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
