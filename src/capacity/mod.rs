//! Learns what each runner takes well from the responses that pass through this node.
//!
//! The estimates are pure code: callers pass the times of events, and read how slow a runner is
//! relative to the others of its service.

mod disturbance;
mod late_end;
mod model_paces;
mod runner_speed;
mod speed_metrics;
mod speed_spread;
mod stream_pace;

pub use {
    disturbance::*, late_end::*, model_paces::*, runner_speed::*, speed_metrics::*,
    speed_spread::*, stream_pace::*,
};
