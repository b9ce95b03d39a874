//! Settings of a load run.

use {
    crate::{
        settings::{SettingsChecker, SettingsFault},
        settings_struct,
        telemetry::{LogFormat, LogLevel},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::PathBuf},
};

/// The kind of load run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadMode {
    /// Open loop: requests are sent at their scheduled times, whether or not earlier ones have a
    /// response.
    Open,
    /// Pairs of calls: one directly to an engine, one through an entry.
    Compare,
    /// Closed loop: as many requests as the workers can send.
    Saturate,
}

/// The kind of call that a class of requests makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A streamed completion.
    Stream,
    /// A completion in a single response.
    Whole,
    /// A `POST` to a plain service, which must not be retried.
    Booking,
    /// A `GET` from a plain service.
    Read,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// The name of the class in the report.
    pub name: String,
    /// The share of the requests, relative to the other classes.
    pub share: f64,
    /// The kind of call.
    pub kind: CallKind,
    /// The service, of models or of backend servers; required for plain services.
    #[serde(default)]
    pub service: Option<String>,
    /// The latency target for the first token, or for the response of a plain service, in
    /// milliseconds.
    pub first_token_target_ms: u64,
    /// The target for the mean time between two tokens, in milliseconds.
    #[serde(default = "no_target_ms")]
    pub between_tokens_target_ms: u64,
    /// The minimum number of tokens to generate.
    #[serde(default = "default_tokens")]
    pub tokens_min: u32,
    /// The maximum number of tokens to generate.
    #[serde(default = "default_tokens")]
    pub tokens_max: u32,
}

fn no_target_ms() -> u64 {
    u64::MAX
}

fn default_tokens() -> u32 {
    16
}

/// A change of demand.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DemandShift {
    /// The time of the change, in seconds after the start.
    pub at_s: f64,
    /// The factor that multiplies the rate from then on.
    #[serde(default = "default_rate_factor")]
    pub rate_factor: f64,
    /// The number of ranks by which the popularity of the names shifts.
    #[serde(default)]
    pub ranks_moved: usize,
}

fn default_rate_factor() -> f64 {
    1.0
}

settings_struct! {
    /// Settings of a load.
    pub struct LoadSettings check check {
        #[doc = " What is measured: open, compare or saturate."]
        mode: LoadMode = "\"open\"",
        #[doc = " The entries, used in turn."]
        entries: Vec<SocketAddr>,
        #[doc = " The engine that compare calls directly."]
        direct_address: Option<SocketAddr> = "null",
        #[doc = " The control listeners of stand-in engines, from which moves are counted."]
        engine_control_addresses: Vec<SocketAddr> = "[]",
        #[doc = " Seeds the schedule; a run repeats with its seed."]
        seed: u64 = "1",
        #[doc = " How long requests are sent, in seconds."]
        duration_s: f64 = "10.0",
        #[doc = " Requests per second outside of bursts."]
        rate_per_s: f64 = "20.0",
        #[doc = " What the rate is multiplied with in a burst."]
        burst_factor: f64 = "1.0",
        #[doc = " The mean length of a burst, in seconds."]
        burst_s: f64 = "1.0",
        #[doc = " The mean time between two bursts, in seconds."]
        burst_gap_s: f64 = "5.0",
        #[doc = " Changes of demand, each with `at_s`, `rate_factor` and `ranks_moved`."]
        shifts: Vec<DemandShift> = "[]",
        #[doc = " Models and adapters, the most popular first."]
        names: Vec<String>,
        #[doc = " The exponent of the popularity; zero means all alike."]
        zipf_exponent: f64 = "1.0",
        #[doc = " Shared prompt prefixes of each model or adapter."]
        prefixes: u32 = "4",
        #[doc = " The length of a shared prefix, in bytes."]
        prefix_bytes: usize = "512",
        #[doc = " The length of what follows the prefix, in bytes."]
        suffix_bytes: usize = "64",
        #[doc = " The classes of requests."]
        classes: Vec<ClassSpec>,
        #[doc = " The accelerators in use, for the attainment per accelerator."]
        accelerators: u32 = "1",
        #[doc = " The longest wait for a whole answer, in milliseconds."]
        answer_timeout_ms: u64 = "30000",
        #[doc = " Pairs of calls that compare makes."]
        pairs: usize = "2000",
        #[doc = " Requests at once when saturating."]
        workers: usize = "64",
        #[doc = " Processes whose processor time is measured when saturating."]
        process_ids: Vec<u32> = "[]",
        #[doc = " Worker threads."]
        threads: usize = "2",
        #[doc = " Where the report goes as JSON."]
        report_file: Option<PathBuf> = "null",
        #[doc = " Where the plot goes as SVG."]
        plot_file: Option<PathBuf> = "null",
        #[doc = " The least severe log messages: error, warn, info or debug."]
        log_level: LogLevel = "\"warn\"",
        #[doc = " The shape of log lines: text or json."]
        log_format: LogFormat = "\"text\"",
    }
}

fn check(settings: &LoadSettings, faults: &mut Vec<SettingsFault>) {
    let mut checker = SettingsChecker::new(faults);
    checker.require_addresses("entries", &settings.entries);
    checker.require(!settings.names.is_empty(), "names", "must name a model");
    checker.require(!settings.classes.is_empty(), "classes", "must name a class");
    checker.require(
        settings
            .classes
            .iter()
            .all(|class| class.share.is_finite() && class.share > 0.0),
        "classes",
        "each share must be above 0",
    );
    checker.require(
        settings
            .classes
            .iter()
            .all(|class| class.tokens_min <= class.tokens_max),
        "classes",
        "tokens_min must not be above tokens_max",
    );
    checker.require(
        settings
            .classes
            .iter()
            .all(|class| !is_plain(class) || class.service.is_some()),
        "classes",
        "a booking or read must name its service",
    );
    checker.require_positive("duration_s", settings.duration_s);
    checker.require_positive("rate_per_s", settings.rate_per_s);
    checker.require_positive("burst_factor", settings.burst_factor);
    checker.require_positive("burst_s", settings.burst_s);
    checker.require_positive("burst_gap_s", settings.burst_gap_s);
    checker.require_at_least("threads", settings.threads as u64, 1);
    checker.require_at_least("workers", settings.workers as u64, 1);
    checker.require(
        settings.mode != LoadMode::Compare || settings.direct_address.is_some(),
        "direct_address",
        "must be given to compare",
    );
}

fn is_plain(class: &ClassSpec) -> bool {
    matches!(class.kind, CallKind::Booking | CallKind::Read)
}
