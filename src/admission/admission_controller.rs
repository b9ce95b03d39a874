//! The admission controller: one queue and one adaptive concurrency limit per model.

use {
    super::{
        ClassTargets, Permit, QueuedRequest, Refusal, RefusalReason,
        model_admission::{ArrivalDecision, ModelAdmission, QueueEntry},
    },
    crate::{
        routing::{rendezvous_weight_of_hash, stable_hash},
        units::ModelName,
    },
    std::sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    tokio::{sync::oneshot, time::Instant},
};

/// The number of shards that the models are spread over, each with its own lock.
const SHARD_COUNT: usize = 32;
/// The shortest `Retry-After` of a refusal.
const RETRY_AFTER_MIN_MS: u64 = 100;
/// The longest `Retry-After` of a refusal.
const RETRY_AFTER_MAX_MS: u64 = 30_000;

type Shard = Vec<(ModelName, ModelAdmission)>;

/// The decision on an arriving request.
#[derive(Debug)]
pub enum AdmissionDecision {
    /// The request runs now.
    Admitted(Permit),
    /// The request waits in the queue.
    Queued(QueuedRequest),
    /// The request is refused and will not run.
    Refused(Refusal),
}

/// Admits requests per model: a queue sorted by class and deadline, and an adaptive limit of
/// concurrent requests.
#[derive(Debug)]
pub struct AdmissionController {
    shards: Vec<Mutex<Shard>>,
    queue_ids: AtomicU64,
}

impl AdmissionController {
    /// Creates a controller without any requests.
    pub fn new() -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
            queue_ids: AtomicU64::new(0),
        }
    }

    /// Decides on a request of a class that arrives at `now`.
    pub fn admit(
        self: &Arc<Self>,
        model: &ModelName,
        class: &ClassTargets,
        now: Instant,
    ) -> AdmissionDecision {
        let (sender, receiver) = oneshot::channel();
        let queue_id = self.queue_ids.fetch_add(1, Ordering::Relaxed);
        let decision = self.with_model(model, |state| {
            let decision = state.decide_arrival(class, now);
            if let ArrivalDecision::Queue { latest_start } = decision {
                state.enqueue(QueueEntry {
                    priority: class.priority,
                    latest_start,
                    queue_id,
                    sender,
                });
            }
            decision
        });
        match decision {
            ArrivalDecision::Run => AdmissionDecision::Admitted(Permit::new(self, model, now)),
            ArrivalDecision::Queue { latest_start } => AdmissionDecision::Queued(
                QueuedRequest::new(self, model, queue_id, latest_start, receiver),
            ),
            ArrivalDecision::Refuse(refusal) => {
                AdmissionDecision::Refused(with_retry_jitter(refusal, queue_id))
            }
        }
    }

    /// Sets the maximum of concurrent requests of a model; the adaptive limit stays at or below it.
    pub fn set_capacity(self: &Arc<Self>, model: &ModelName, slots_max: u32) {
        self.with_model(model, |state| state.set_capacity(slots_max));
        self.start_next(model);
    }

    /// Returns the number of requests that wait for a model.
    pub fn queued(&self, model: &ModelName) -> usize {
        self.with_model(model, |state| state.queued())
    }

    /// Returns the number of requests of a model that hold a permit.
    pub fn running(&self, model: &ModelName) -> u32 {
        self.with_model(model, |state| state.running())
    }

    /// Removes a request from the queue after its wait and returns its refusal.
    pub(super) fn withdraw(&self, model: &ModelName, queue_id: u64) -> Refusal {
        let retry_after_ms = self.with_model(model, |state| {
            state.withdraw(queue_id);
            state.retry_after_ms()
        });
        let refusal = Refusal {
            reason: RefusalReason::WaitedTooLong,
            retry_after_ms,
        };
        with_retry_jitter(refusal, queue_id)
    }

    pub(super) fn with_model<T>(
        &self,
        model: &ModelName,
        work: impl FnOnce(&mut ModelAdmission) -> T,
    ) -> T {
        let index = stable_hash(model.as_str()) as usize % SHARD_COUNT;
        let mut shard = self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let position = match shard.binary_search_by(|(name, _)| name.cmp(model)) {
            Ok(position) => position,
            Err(position) => {
                shard.insert(position, (model.clone(), ModelAdmission::new()));
                position
            }
        };
        work(&mut shard[position].1)
    }

    /// Starts the queued requests for which slots are free.
    ///
    /// Permits are sent without the lock: a permit without a receiver is dropped at once, which
    /// takes the lock again.
    pub(super) fn start_next(self: &Arc<Self>, model: &ModelName) {
        let now = Instant::now();
        let senders = self.with_model(model, |state| state.start_next(now));
        for sender in senders {
            drop(sender.send(Permit::new(self, model, now)));
        }
    }
}

impl Default for AdmissionController {
    fn default() -> Self {
        Self::new()
    }
}

/// Randomises the `Retry-After` of a refusal by up to one half, so that refused callers do not
/// retry together.
fn with_retry_jitter(refusal: Refusal, queue_id: u64) -> Refusal {
    let wait_ms = refusal
        .retry_after_ms
        .clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    let spread_ms = rendezvous_weight_of_hash(queue_id, wait_ms) % (wait_ms / 2 + 1);
    Refusal {
        retry_after_ms: wait_ms + spread_ms,
        ..refusal
    }
}
