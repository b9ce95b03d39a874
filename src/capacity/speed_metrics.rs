//! The learned speeds of runners as metrics.

use crate::telemetry::MetricText;

/// What a node learned of a runner's speed.
#[derive(Debug, Clone, PartialEq)]
pub struct SpeedView {
    /// The runner's name.
    pub runner: String,
    /// The time that the runner needs now, relative to the mean of its service.
    pub slowness: f64,
    /// The samples of this node and its peers.
    pub samples: u32,
    /// The age of the newest sample in seconds.
    pub age_s: f64,
}

/// Appends the speeds to a page of metrics, if any are known.
pub fn render_speeds(speeds: &[SpeedView], text: &mut MetricText) {
    if speeds.is_empty() {
        return;
    }
    let mut family = |name, help, value: fn(&SpeedView) -> f64| {
        text.begin(name, "gauge", help);
        for speed in speeds {
            text.value(name, &[("runner", &speed.runner)], value(speed));
        }
    };
    family(
        "ggt_runner_slowness",
        "Time that a runner needs, relative to the mean of its service.",
        |speed| speed.slowness,
    );
    family(
        "ggt_runner_speed_samples",
        "Samples behind the slowness of a runner.",
        |speed| f64::from(speed.samples),
    );
    family(
        "ggt_runner_speed_age_seconds",
        "Age of the newest sample of a runner's slowness.",
        |speed| speed.age_s,
    );
}
