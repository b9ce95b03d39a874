//! The decision whether a request waits for a runner to load the model or adapter.

use {
    super::wait_decision::{WaitContext, WaitDecision},
    std::time::Duration,
};

/// The usual time to load a missing adapter.
const ADAPTER_LOAD_EXPECTED: Duration = Duration::from_millis(150);

/// The shortest time to load a missing adapter.
const ADAPTER_LOAD_MIN: Duration = Duration::from_millis(20);

/// The time from the first waiting request for a model to the order to load the model.
const LOAD_ORDER_DELAY: Duration = Duration::from_millis(500);

/// How long a busy runner may defer the load of an adapter.
const BUSY_RUNNER_DELAY_MAX: Duration = Duration::from_millis(2_500);

/// The expected time until a service without runners has one.
const RUNNER_START_EXPECTED: Duration = Duration::from_millis(1_000);

/// The share of a request's total wait after which it no longer waits for a copy.
const COPY_WAIT_SHARE_MAX: f64 = 0.55;

/// The estimated time until a runner holds the copy.
struct CopyEstimate {
    expected: Duration,
    shortest: Duration,
    delay_max: Duration,
}

impl WaitContext<'_> {
    /// Decides whether the request waits for a copy of its model or adapter.
    pub(super) fn decide_copy_wait(&self) -> WaitDecision {
        let estimate = self.estimate();
        let wait_max = estimate.expected.mul_f64(2.5) + estimate.delay_max;
        let until = (self.queued_at + wait_max).min(self.share_elapsed_at(COPY_WAIT_SHARE_MAX));
        if self.time_left() <= estimate.shortest || self.now >= until {
            return self.refuse(estimate.expected);
        }
        self.wait_until(until)
    }

    fn estimate(&self) -> CopyEstimate {
        let unknown = CopyEstimate {
            expected: RUNNER_START_EXPECTED,
            shortest: Duration::ZERO,
            delay_max: LOAD_ORDER_DELAY,
        };
        let Some(variant) = &self.profile.variant else {
            return unknown;
        };
        if self.service.has_copy(&variant.model, self.now) {
            return CopyEstimate {
                expected: ADAPTER_LOAD_EXPECTED,
                shortest: ADAPTER_LOAD_MIN,
                delay_max: BUSY_RUNNER_DELAY_MAX,
            };
        }
        let spec = self.engine.and_then(|engine| engine.model(&variant.model));
        spec.map_or(unknown, |spec| CopyEstimate {
            expected: seconds(spec.load_from_store_s) + LOAD_ORDER_DELAY,
            shortest: seconds(spec.load_from_memory_s),
            delay_max: LOAD_ORDER_DELAY,
        })
    }
}

fn seconds(time_s: f64) -> Duration {
    Duration::try_from_secs_f64(time_s).unwrap_or_default()
}
