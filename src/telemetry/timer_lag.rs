//! Measures how late timers fire, which shows whether the process gets enough processor time.

use {
    super::{DurationHistogram, MetricText},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::{self, Instant},
};

/// The interval at which a timer is measured.
const MEASURE_INTERVAL: Duration = Duration::from_millis(100);

/// How late the timers of this process fire.
#[derive(Debug, Default)]
pub struct TimerLag {
    histogram: DurationHistogram,
    latest: Mutex<Latest>,
}

/// The timer that is pending and the one before.
#[derive(Debug, Default)]
struct Latest {
    due_at: Option<Instant>,
    fired_at: Option<Instant>,
    lag: Duration,
}

impl TimerLag {
    /// Measures timers; never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            let due_at = Instant::now() + MEASURE_INTERVAL;
            self.latest().due_at = Some(due_at);
            time::sleep_until(due_at).await;
            let lag = due_at.elapsed();
            self.histogram.record(lag);
            *self.latest() = Latest {
                due_at: None,
                fired_at: Some(Instant::now()),
                lag,
            };
        }
    }

    /// Returns how late the process is: what it reads now may have arrived this long ago.
    pub fn current(&self) -> Duration {
        let now = Instant::now();
        let latest = self.latest();
        let overdue = latest
            .due_at
            .map(|due_at| now.saturating_duration_since(due_at));
        let is_recent = |fired_at| now < fired_at + MEASURE_INTERVAL;
        let fired = latest.fired_at.filter(|fired_at| is_recent(*fired_at));
        let fired = fired.map_or(Duration::ZERO, |_| latest.lag);
        overdue.unwrap_or_default().max(fired)
    }

    /// Writes the histogram as a metric.
    pub fn render(&self, text: &mut MetricText) {
        let name = "ggt_timer_lag_seconds";
        text.begin(
            name,
            "histogram",
            "How late a timer of the process fired, measured ten times a second.",
        );
        text.histogram(name, &[], &self.histogram);
    }

    fn latest(&self) -> MutexGuard<'_, Latest> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
