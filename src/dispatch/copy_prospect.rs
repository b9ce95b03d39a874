//! Whether a request waits for a runner to hold what it wants.

use {
    super::prospect::{Case, Prospect},
    std::time::Duration,
};

/// The time in which a missing adapter is usually there.
const ADAPTER: Duration = Duration::from_millis(150);

/// The shortest time in which a missing adapter can be there.
const ADAPTER_LEAST: Duration = Duration::from_millis(20);

/// The time from the wish for a model to the order to load it.
const ORDER: Duration = Duration::from_millis(500);

/// The time for which a busy runner may put off the load of an adapter.
const BUSY_RUNNER: Duration = Duration::from_millis(2_500);

/// The time in which a runner of a service without any is expected.
const RUNNER: Duration = Duration::from_millis(1_000);

/// The share of its time after which a request waits no longer for a copy.
const SHARE_MAX: f64 = 0.55;

/// The time until there is a copy.
struct Arrival {
    expected: Duration,
    least: Duration,
    delay_max: Duration,
}

impl Case<'_> {
    /// Decides whether the request waits for a copy.
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
            expected: seconds(spec.load_from_store_s) + ORDER,
            least: seconds(spec.load_from_memory_s),
            delay_max: ORDER,
        })
    }
}

fn seconds(time_s: f64) -> Duration {
    Duration::try_from_secs_f64(time_s).unwrap_or_default()
}
