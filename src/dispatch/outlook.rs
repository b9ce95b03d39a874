//! How long a request will probably wait for a place.

use {
    super::{
        Refused,
        service_runners::{Chosen, ServiceRunners},
        wait_queue::{Ask, Waiter},
    },
    crate::traffic::EngineSpec,
    rand::RngExt,
    std::time::Duration,
    tokio::time::Instant,
};

/// The time in which a missing adapter is usually there, in milliseconds.
const ADAPTER_MS: u64 = 150;

/// The shortest time between two looks at a request that waits, in milliseconds.
const LOOK_MS: u64 = 20;

/// The requests ahead from which the wait is taken to be as long as it seems.
const AHEAD_MIN: usize = 8;

/// The shortest time in which a missing adapter can be there, in milliseconds.
const ADAPTER_LEAST_MS: u64 = 20;

/// The time from the wish for a model to the order to load it, in milliseconds.
const ORDER_MS: u64 = 500;

/// The time in which a runner of a service without any is expected, in milliseconds.
const RUNNER_MS: u64 = 1_000;

/// The lowest rate of finished requests that says something.
const RATE_MIN_PER_S: f64 = 0.2;

/// The bounds of the time after which a refused caller may come back, in milliseconds.
const RETRY_MIN_MS: u64 = 100;
const RETRY_MAX_MS: u64 = 5_000;

/// How long a request will probably wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Outlook {
    /// The likely time; `None` if nothing is known.
    pub(super) expected_ms: Option<u64>,
    /// The shortest time that is possible.
    pub(super) least_ms: u64,
}

impl Outlook {
    /// Returns how long a request waits for a copy before it is given up.
    pub(super) fn patience(&self) -> Duration {
        let expected_ms = self.expected_ms.unwrap_or(RUNNER_MS);
        Duration::from_millis(expected_ms * 5 / 2 + ORDER_MS)
    }

    /// Returns the refusal of a request with this outlook.
    pub(super) fn refusal(&self) -> Refused {
        let expected_ms = self.expected_ms.unwrap_or(RUNNER_MS);
        let jitter_ms = rand::rng().random_range(0..=expected_ms / 4 + 1);
        Refused {
            retry_after_ms: (expected_ms + jitter_ms).clamp(RETRY_MIN_MS, RETRY_MAX_MS),
        }
    }
}

/// Estimates the wait for a runner that will hold what is wanted.
fn copy_outlook(
    service: &ServiceRunners,
    engine: Option<&EngineSpec>,
    ask: &Ask,
    now: Instant,
) -> Outlook {
    let Some(variant) = &ask.variant else {
        return Outlook {
            expected_ms: Some(RUNNER_MS),
            least_ms: 0,
        };
    };
    if service.has_copy(&variant.model, now) {
        return Outlook {
            expected_ms: Some(ADAPTER_MS),
            least_ms: ADAPTER_LEAST_MS,
        };
    }
    let spec = engine.and_then(|engine| engine.model(&variant.model));
    match spec {
        Some(spec) => Outlook {
            expected_ms: Some((spec.load_s * 1_000.0) as u64 + ORDER_MS),
            least_ms: (spec.warm_s * 1_000.0) as u64,
        },
        None => Outlook {
            expected_ms: None,
            least_ms: 0,
        },
    }
}

/// Estimates the wait for room at runners that hold what is wanted.
fn room_outlook(service: &ServiceRunners, ask: &Ask, id: u64, now: Instant) -> Outlook {
    let answer_at = service.answer_at(now);
    let (model, rank) = (ask.model(), ask.rank(id, answer_at));
    let waiters = service.queue.iter();
    let same_model = waiters.filter(|w| w.ask.model() == model && w.rank(answer_at) < rank);
    let ahead = same_model.count();
    let per_s = service.demand.finishes_per_s(model, now);
    let expected_ms = ((ahead + 1) as f64 / per_s.max(RATE_MIN_PER_S) * 1_000.0) as u64;
    let known = per_s >= RATE_MIN_PER_S;
    Outlook {
        expected_ms: known.then_some(expected_ms),
        least_ms: if known && ahead >= AHEAD_MIN {
            expected_ms / 2
        } else {
            0
        },
    }
}

/// Estimates the wait of a request for which there is no runner now.
pub(super) fn outlook(
    service: &ServiceRunners,
    engine: Option<&EngineSpec>,
    ask: &Ask,
    chosen: Chosen,
    id: u64,
    now: Instant,
) -> Outlook {
    match chosen {
        Chosen::NoCopy => copy_outlook(service, engine, ask, now),
        _ => room_outlook(service, ask, id, now),
    }
}

/// Returns when to decide whether a request goes on waiting.
pub(super) fn next_look(
    ask: &Ask,
    chosen: Chosen,
    outlook: Outlook,
    since: Instant,
    now: Instant,
) -> Instant {
    let left = ask.give_up_at.saturating_duration_since(now);
    let mut at = now + left / 2;
    if chosen == Chosen::NoCopy {
        at = at.min((since + outlook.patience()).max(now + left / 8));
    }
    if let Chosen::Full(Some(retry_at)) = chosen {
        at = at.min(retry_at);
    }
    let soonest = now + Duration::from_millis(LOOK_MS);
    at.max(soonest).min(ask.give_up_at)
}

/// Returns whether a place can be expected in time.
pub(super) fn goes_on(waiter: &Waiter, chosen: Chosen, outlook: Outlook, now: Instant) -> bool {
    let left = waiter.ask.give_up_at.saturating_duration_since(now);
    let total = waiter
        .ask
        .give_up_at
        .saturating_duration_since(waiter.since);
    if left.is_zero() {
        return false;
    }
    match chosen {
        Chosen::NoCopy => {
            let possible = left > Duration::from_millis(outlook.least_ms);
            possible && now < waiter.since + outlook.patience()
        }
        _ if left * 2 > total => true,
        _ => {
            let expected = outlook.expected_ms.map(Duration::from_millis);
            expected.is_some_and(|expected| expected < left)
        }
    }
}
