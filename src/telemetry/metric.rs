//! The names of metrics, and the recorder that collects and renders them.

use {
    metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle},
    std::time::Duration,
    tokio::time,
};

/// Histogram: seconds from a request's arrival to its first token.
pub const FIRST_TOKEN_S: &str = "ggt_first_token_seconds";
/// Histogram: seconds between two tokens of a response.
pub const BETWEEN_TOKENS_S: &str = "ggt_between_tokens_seconds";
/// Histogram: seconds that a request waited for an assignment.
pub const QUEUE_S: &str = "ggt_queue_seconds";
/// Counter: requests, by `model` and `outcome`.
pub const REQUESTS: &str = "ggt_requests_total";
/// Counter: calls to the key-value service, by `kind`.
pub const STORE_CALLS: &str = "ggt_store_calls_total";
/// Gauge: seconds of processor time that the keeper's control tasks have used.
pub const CONTROL_CPU_S: &str = "ggt_control_cpu_seconds";
/// Histogram: seconds that computing the placement took.
pub const PLANNING_S: &str = "ggt_planning_seconds";
/// Gauge: models that have too few copies for lack of memory, by their home `data_centre`.
pub const UNPLACED_MODELS: &str = "ggt_unplaced_models";
/// Gauge: the revision of the configuration in force.
pub const REVISION: &str = "ggt_configuration_revision";

/// The upper bounds of histogram buckets, in seconds.
const BUCKETS_S: [f64; 14] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.036, 0.05, 0.1, 0.25, 0.54, 1.0, 2.5, 10.0,
];

/// The interval at which recorded samples are moved into their buckets.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the metrics recorder of this process and returns its renderer.
///
/// # Errors
///
/// Fails if a recorder is already installed.
pub fn init_metrics() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets(&BUCKETS_S)?
        .install_recorder()
}

/// Periodically moves recorded samples into their buckets, which bounds their memory use.
///
/// Never returns.
pub async fn run_metrics_upkeep(metrics: PrometheusHandle) {
    let mut ticks = time::interval(UPKEEP_INTERVAL);
    loop {
        ticks.tick().await;
        metrics.run_upkeep();
    }
}
