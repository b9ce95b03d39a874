//! How long a request will probably wait for a place.

use {
    super::{Refused, service_runners::ServiceRunners, wait_queue::Ask},
    crate::traffic::{EngineSpec, ModelId},
    rand::RngExt,
    std::time::Duration,
    tokio::time::Instant,
};

/// The time in which a missing adapter is usually there, in milliseconds.
const ADAPTER_MS: u64 = 150;

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
pub(super) fn copy_outlook(
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
pub(super) fn room_outlook(
    service: &ServiceRunners,
    model: Option<&ModelId>,
    id: u64,
    now: Instant,
) -> Outlook {
    let waiters = service.queue.iter().take_while(|waiter| waiter.id != id);
    let same_model = waiters.filter(|waiter| {
        let wanted = waiter.ask.variant.as_ref();
        wanted.map(|variant| &variant.model) == model
    });
    let ahead = same_model.count();
    let per_s = service.demand.finishes_per_s(model, now);
    let expected_ms = ((ahead + 1) as f64 / per_s.max(RATE_MIN_PER_S) * 1_000.0) as u64;
    Outlook {
        expected_ms: (per_s >= RATE_MIN_PER_S).then_some(expected_ms),
        least_ms: 0,
    }
}
