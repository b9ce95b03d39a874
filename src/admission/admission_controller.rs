//! The admission controller: one queue and one adaptive concurrency limit per model.

use {
    super::{
        ClassTargets, Permit, Refusal, RefusalReason, Waiter,
        model_admission::{Gate, Queued, Verdict},
    },
    crate::{
        routing::{rendezvous_of_hash, stable_hash},
        units::ModelName,
    },
    std::sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    tokio::{sync::oneshot, time::Instant},
};

/// The number of shards that the models are spread over, each with its own lock.
const SHARDS: usize = 32;
/// The shortest `Retry-After` of a refusal.
const RETRY_AFTER_MIN_MS: u64 = 100;
/// The longest `Retry-After` of a refusal.
const RETRY_AFTER_MAX_MS: u64 = 30_000;

type Shard = Vec<(ModelName, Gate)>;

/// The decision on an arriving request.
#[derive(Debug)]
pub enum Admit {
    /// The request runs now.
    Now(Permit),
    /// The request waits in the queue.
    Wait(Waiter),
    /// The request is refused and will not run.
    Refuse(Refusal),
}

/// Admits requests per model: a queue sorted by class and deadline, and an adaptive limit of
/// concurrent requests.
#[derive(Debug)]
pub struct Admission {
    shards: Vec<Mutex<Shard>>,
    tickets: AtomicU64,
}

impl Admission {
    /// Creates a controller without any requests.
    pub fn new() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            tickets: AtomicU64::new(0),
        }
    }

    /// Decides on a request of a class that arrives at `now`.
    pub fn admit(self: &Arc<Self>, model: &ModelName, class: &ClassTargets, now: Instant) -> Admit {
        let (grant, granted) = oneshot::channel();
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let verdict = self.with_gate(model, |gate| {
            let verdict = gate.arrive(class, now);
            if let Verdict::Queue { latest_start } = verdict {
                gate.enqueue(Queued {
                    priority: class.priority,
                    latest_start,
                    ticket,
                    grant,
                });
            }
            verdict
        });
        match verdict {
            Verdict::Run => Admit::Now(Permit::new(self, model, now)),
            Verdict::Queue { latest_start } => {
                Admit::Wait(Waiter::new(self, model, ticket, latest_start, granted))
            }
            Verdict::Refuse(refusal) => Admit::Refuse(jittered(refusal, ticket)),
        }
    }

    /// Sets the maximum of concurrent requests of a model; the adaptive limit stays at or below it.
    pub fn set_capacity(self: &Arc<Self>, model: &ModelName, slots_max: u32) {
        self.with_gate(model, |gate| gate.set_capacity(slots_max));
        self.start_next(model);
    }

    /// Returns the number of requests that wait for a model.
    pub fn queued(&self, model: &ModelName) -> usize {
        self.with_gate(model, |gate| gate.queued())
    }

    /// Returns the number of requests of a model that hold a permit.
    pub fn running(&self, model: &ModelName) -> u32 {
        self.with_gate(model, |gate| gate.running())
    }

    pub(super) fn withdraw(&self, model: &ModelName, ticket: u64) -> Refusal {
        let retry_after_ms = self.with_gate(model, |gate| {
            gate.withdraw(ticket);
            gate.retry_after_ms()
        });
        let refusal = Refusal {
            reason: RefusalReason::WaitedTooLong,
            retry_after_ms,
        };
        jittered(refusal, ticket)
    }

    pub(super) fn with_gate<T>(&self, model: &ModelName, act: impl FnOnce(&mut Gate) -> T) -> T {
        let index = stable_hash(model.as_str()) as usize % SHARDS;
        let mut shard = self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let position = match shard.binary_search_by(|(name, _)| name.cmp(model)) {
            Ok(position) => position,
            Err(position) => {
                shard.insert(position, (model.clone(), Gate::new()));
                position
            }
        };
        act(&mut shard[position].1)
    }

    /// Starts the queued requests for which slots are free.
    ///
    /// Permits are sent without the lock: a permit without a receiver is dropped at once, which
    /// takes the lock again.
    pub(super) fn start_next(self: &Arc<Self>, model: &ModelName) {
        let now = Instant::now();
        let grants = self.with_gate(model, |gate| gate.start_next(now));
        for grant in grants {
            drop(grant.send(Permit::new(self, model, now)));
        }
    }
}

impl Default for Admission {
    fn default() -> Self {
        Self::new()
    }
}

/// Randomises the `Retry-After` of a refusal by up to one half, so that refused callers do not
/// retry together.
fn jittered(refusal: Refusal, ticket: u64) -> Refusal {
    let wait_ms = refusal
        .retry_after_ms
        .clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    let spread_ms = rendezvous_of_hash(ticket, wait_ms) % (wait_ms / 2 + 1);
    Refusal {
        retry_after_ms: wait_ms + spread_ms,
        ..refusal
    }
}
