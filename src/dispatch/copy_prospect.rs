//! The decision whether a request waits for a runner to load the model or adapter.

use {
    super::prospect::{Case, Prospect},
    std::time::Duration,
};

/// The usual time to load a missing adapter.
const ADAPTER: Duration = Duration::from_millis(150);

/// The shortest time to load a missing adapter.
const ADAPTER_LEAST: Duration = Duration::from_millis(20);

/// The time from the first waiting request for a model to the order to load the model.
const ORDER: Duration = Duration::from_millis(500);

/// How long a busy runner may defer the load of an adapter.
const BUSY_RUNNER: Duration = Duration::from_millis(2_500);

/// The expected time until a service without runners has one.
const RUNNER: Duration = Duration::from_millis(1_000);

/// The share of a request's total wait after which it no longer waits for a copy.
const SHARE_MAX: f64 = 0.55;

/// The estimated time until a runner holds the copy.
struct Arrival {
    expected: Duration,
    least: Duration,
    delay_max: Duration,
}

impl Case<'_> {
    /// Decides whether the request waits for a copy of its model or adapter.
    pub(super) fn copy_prospect(&self) -> Prospect {
        let arrival = self.arrival();
        let patience = arrival.expected.mul_f64(2.5) + arrival.delay_max;
        let until = (self.since + patience).min(self.share_over(SHARE_MAX));
        if self.left() <= arrival.least || self.now >= until {
            return self.refuse(arrival.expected);
        }
        self.wait(until)
    }

    fn arrival(&self) -> Arrival {
        let unknown = Arrival {
            expected: RUNNER,
            least: Duration::ZERO,
            delay_max: ORDER,
        };
        let Some(variant) = &self.ask.variant else {
            return unknown;
        };
        if self.service.has_copy(&variant.model, self.now) {
            return Arrival {
                expected: ADAPTER,
                least: ADAPTER_LEAST,
                delay_max: BUSY_RUNNER,
            };
        }
        let spec = self.engine.and_then(|engine| engine.model(&variant.model));
        spec.map_or(unknown, |spec| Arrival {
            expected: seconds(spec.load_s) + ORDER,
            least: seconds(spec.warm_s),
            delay_max: ORDER,
        })
    }
}

fn seconds(time_s: f64) -> Duration {
    Duration::try_from_secs_f64(time_s).unwrap_or_default()
}
