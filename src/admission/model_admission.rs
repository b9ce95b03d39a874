//! The queue, the running requests and the concurrency limit of one model.

use {
    super::{
        ClassTargets, Permit, Refusal, RefusalReason,
        slot_limit::{SLOTS_DEFAULT, SlotLimit},
    },
    std::time::Duration,
    tokio::{sync::oneshot, time::Instant},
};

/// The most requests that wait for one model.
const QUEUE_MAX: usize = 4_096;
/// The weight of the newest sample in a moving average.
const AVERAGE_GAIN: f64 = 0.1;
/// The share of a latency target above which the engine counts as congested.
const CONGESTED_SHARE: f64 = 0.5;
/// The share of the slots that is reserved for the most urgent class.
const RESERVED_SHARE: f64 = 0.1;

/// The sender that delivers a permit to a queued request.
pub(super) type Grant = oneshot::Sender<Permit>;

/// An entry of the queue.
#[derive(Debug)]
pub(super) struct Queued {
    pub priority: u8,
    pub latest_start: Instant,
    pub ticket: u64,
    pub grant: Grant,
}

/// The decision on an arriving request.
#[derive(Debug)]
pub(super) enum Verdict {
    Run,
    Queue { latest_start: Instant },
    Refuse(Refusal),
}

/// The queue, the running requests and the concurrency limit of one model.
///
/// The queue is sorted by priority, then by the latest start at which a request can still meet
/// its target.
#[derive(Debug)]
pub(super) struct Gate {
    limit: SlotLimit,
    running: u32,
    queue: Vec<Queued>,
    priority_best: u8,
    hold_ms: f64,
    first_token_ms: f64,
}

impl Gate {
    pub fn new() -> Self {
        Self {
            limit: SlotLimit::new(SLOTS_DEFAULT),
            running: 0,
            queue: Vec::new(),
            priority_best: u8::MAX,
            hold_ms: 0.0,
            first_token_ms: 0.0,
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

    /// Decides on an arriving request; [`Verdict::Run`] counts the request as running.
    pub fn arrive(&mut self, class: &ClassTargets, now: Instant) -> Verdict {
        self.priority_best = self.priority_best.min(class.priority);
        let budget_ms = class.first_token_target_ms as f64 - self.first_token_ms;
        let latest_start = now + millis(budget_ms);
        let ahead = self.position(class.priority, latest_start);
        if ahead == 0 && self.has_slot(class.priority) {
            self.running += 1;
            return Verdict::Run;
        }
        let wait_ms = self.wait_ms(ahead);
        let refuse = |reason| {
            Verdict::Refuse(Refusal {
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
        Verdict::Queue { latest_start }
    }

    pub fn enqueue(&mut self, queued: Queued) {
        let position = self.position(queued.priority, queued.latest_start);
        self.queue.insert(position, queued);
    }

    /// Removes a request from the queue, if it still waits.
    pub fn withdraw(&mut self, ticket: u64) {
        self.queue.retain(|queued| queued.ticket != ticket);
    }

    /// Removes the requests that can start now from the queue and counts them as running.
    pub fn start_next(&mut self, now: Instant) -> Vec<Grant> {
        let mut started = Vec::new();
        let mut position = 0;
        while let Some(queued) = self.queue.get(position) {
            let in_time = now <= queued.latest_start;
            if in_time && !self.has_slot(queued.priority) {
                break;
            }
            if in_time {
                self.running += 1;
                started.push(self.queue.remove(position).grant);
            } else {
                position += 1;
            }
        }
        started
    }

    /// Returns the delay after which a request that waited without success should retry.
    pub fn retry_after_ms(&self) -> u64 {
        self.wait_ms(self.queue.len()) as u64
    }

    pub fn record_first_token(
        &mut self,
        class: &ClassTargets,
        engine_time: Duration,
        now: Instant,
    ) {
        let engine_ms = engine_time.as_secs_f64() * 1e3;
        average(&mut self.first_token_ms, engine_ms);
        self.adjust(engine_ms, class.first_token_target_ms, now);
    }

    pub fn record_token_gap(&mut self, class: &ClassTargets, gap: Duration, now: Instant) {
        if gap > Duration::from_millis(class.between_tokens_target_ms) {
            self.limit.decrease(now, millis(self.first_token_ms));
        }
    }

    /// Ends a running request that occupied its slot for `held`.
    pub fn finish(&mut self, held: Duration) {
        self.running = self.running.saturating_sub(1);
        average(&mut self.hold_ms, held.as_secs_f64() * 1e3);
    }

    fn adjust(&mut self, engine_ms: f64, target_ms: u64, now: Instant) {
        if engine_ms > target_ms as f64 * CONGESTED_SHARE {
            self.limit.decrease(now, millis(self.first_token_ms));
        } else {
            self.limit.increase(self.running);
        }
    }

    fn has_slot(&self, priority: u8) -> bool {
        let share = if priority <= self.priority_best {
            1.0
        } else {
            1.0 - RESERVED_SHARE
        };
        let usable = (self.limit.slots() * share).max(1.0);
        f64::from(self.running) + 1.0 <= usable
    }

    fn position(&self, priority: u8, latest_start: Instant) -> usize {
        let rank = (priority, latest_start);
        self.queue
            .partition_point(|queued| (queued.priority, queued.latest_start) <= rank)
    }

    /// Estimates the wait behind `ahead` queued requests.
    fn wait_ms(&self, ahead: usize) -> f64 {
        (ahead as f64 + 1.0) * self.hold_ms / self.limit.slots()
    }
}

fn average(mean: &mut f64, sample: f64) {
    if *mean == 0.0 {
        *mean = sample;
    } else {
        *mean += (sample - *mean) * AVERAGE_GAIN;
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}
