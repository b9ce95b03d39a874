//! The queue, the running requests and the concurrency limit of one model.

use {
    super::{
        ClassTargets, Permit, Refusal, RefusalReason,
        slot_limit::{DEFAULT_SLOT_LIMIT, SlotLimit},
    },
    std::time::Duration,
    tokio::{sync::oneshot, time::Instant},
};

/// The most requests that wait for one model.
const QUEUE_MAX: usize = 4_096;
/// The weight of the newest sample in a moving average.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.1;
/// The share of a latency target above which the engine counts as congested.
const CONGESTED_TARGET_SHARE: f64 = 0.5;
/// The share of the slots that is reserved for the most urgent class.
const RESERVED_SLOT_SHARE: f64 = 0.1;

/// The sender that delivers a permit to a queued request.
pub(super) type PermitSender = oneshot::Sender<Permit>;

/// An entry of the queue.
#[derive(Debug)]
pub(super) struct QueueEntry {
    pub priority: u8,
    pub latest_start: Instant,
    pub queue_id: u64,
    pub sender: PermitSender,
}

/// The decision on an arriving request.
#[derive(Debug)]
pub(super) enum ArrivalDecision {
    Run,
    Queue { latest_start: Instant },
    Refuse(Refusal),
}

/// The queue, the running requests and the concurrency limit of one model.
///
/// The queue is sorted by priority, then by the latest start at which a request can still meet
/// its target.
#[derive(Debug)]
pub(super) struct ModelAdmission {
    limit: SlotLimit,
    running: u32,
    queue: Vec<QueueEntry>,
    most_urgent_priority: u8,
    mean_slot_hold_ms: f64,
    mean_first_token_ms: f64,
}

impl ModelAdmission {
    pub fn new() -> Self {
        Self {
            limit: SlotLimit::new(DEFAULT_SLOT_LIMIT),
            running: 0,
            queue: Vec::new(),
            most_urgent_priority: u8::MAX,
            mean_slot_hold_ms: 0.0,
            mean_first_token_ms: 0.0,
        }
    }

    pub fn set_capacity(&mut self, slots_max: u32) {
        self.limit.set_max(slots_max);
    }

    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    pub fn running(&self) -> u32 {
        self.running
    }

    /// Decides on an arriving request and counts it as running with [`ArrivalDecision::Run`].
    pub fn decide_arrival(&mut self, class: &ClassTargets, now: Instant) -> ArrivalDecision {
        self.most_urgent_priority = self.most_urgent_priority.min(class.priority);
        let budget_ms = class.first_token_target_ms as f64 - self.mean_first_token_ms;
        let latest_start = now + millis(budget_ms);
        let ahead = self.queue_position(class.priority, latest_start);
        if ahead == 0 && self.has_slot(class.priority) {
            self.running += 1;
            return ArrivalDecision::Run;
        }
        let wait_ms = self.expected_wait_ms(ahead);
        let refuse = |reason| {
            ArrivalDecision::Refuse(Refusal {
                reason,
                retry_after_ms: (wait_ms - budget_ms).max(0.0) as u64,
            })
        };
        if self.queue.len() >= QUEUE_MAX {
            return refuse(RefusalReason::QueueFull);
        }
        if wait_ms > budget_ms {
            return refuse(RefusalReason::CannotMakeTarget);
        }
        ArrivalDecision::Queue { latest_start }
    }

    pub fn enqueue(&mut self, queued: QueueEntry) {
        let position = self.queue_position(queued.priority, queued.latest_start);
        self.queue.insert(position, queued);
    }

    /// Removes a request from the queue, if it still waits.
    pub fn withdraw(&mut self, queue_id: u64) {
        self.queue.retain(|queued| queued.queue_id != queue_id);
    }

    /// Removes the requests that can start now from the queue and counts them as running.
    pub fn start_next(&mut self, now: Instant) -> Vec<PermitSender> {
        let mut senders = Vec::new();
        let mut position = 0;
        while let Some(queued) = self.queue.get(position) {
            let can_meet_target = now <= queued.latest_start;
            if can_meet_target && !self.has_slot(queued.priority) {
                break;
            }
            if can_meet_target {
                self.running += 1;
                senders.push(self.queue.remove(position).sender);
            } else {
                position += 1;
            }
        }
        senders
    }

    /// Returns the delay after which a request that waited without success should retry.
    pub fn retry_after_ms(&self) -> u64 {
        self.expected_wait_ms(self.queue.len()) as u64
    }

    pub fn record_first_token(
        &mut self,
        class: &ClassTargets,
        engine_time: Duration,
        now: Instant,
    ) {
        let engine_ms = engine_time.as_secs_f64() * 1e3;
        update_average(&mut self.mean_first_token_ms, engine_ms);
        self.adjust_limit(engine_ms, class.first_token_target_ms, now);
    }

    pub fn record_token_gap(&mut self, class: &ClassTargets, gap: Duration, now: Instant) {
        if gap > Duration::from_millis(class.between_tokens_target_ms) {
            self.limit.decrease(now, millis(self.mean_first_token_ms));
        }
    }

    /// Ends a running request that occupied its slot for `held`.
    pub fn finish(&mut self, held: Duration) {
        self.running = self.running.saturating_sub(1);
        update_average(&mut self.mean_slot_hold_ms, held.as_secs_f64() * 1e3);
    }

    fn adjust_limit(&mut self, engine_ms: f64, target_ms: u64, now: Instant) {
        if engine_ms > target_ms as f64 * CONGESTED_TARGET_SHARE {
            self.limit.decrease(now, millis(self.mean_first_token_ms));
        } else {
            self.limit.increase(self.running);
        }
    }

    /// Returns whether a slot is free for a priority, given the slots reserved for the most urgent.
    fn has_slot(&self, priority: u8) -> bool {
        let share = if priority <= self.most_urgent_priority {
            1.0
        } else {
            1.0 - RESERVED_SLOT_SHARE
        };
        let usable = (self.limit.slots() * share).max(1.0);
        f64::from(self.running) + 1.0 <= usable
    }

    fn queue_position(&self, priority: u8, latest_start: Instant) -> usize {
        let rank = (priority, latest_start);
        self.queue
            .partition_point(|queued| (queued.priority, queued.latest_start) <= rank)
    }

    /// Returns the expected wait behind `ahead` queued requests.
    fn expected_wait_ms(&self, ahead: usize) -> f64 {
        (ahead as f64 + 1.0) * self.mean_slot_hold_ms / self.limit.slots()
    }
}

/// Updates an exponential moving average; the first sample sets it.
fn update_average(mean: &mut f64, sample: f64) {
    if *mean == 0.0 {
        *mean = sample;
    } else {
        *mean += (sample - *mean) * NEWEST_SAMPLE_WEIGHT;
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}
