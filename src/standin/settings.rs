//! Settings of a process of stand-ins.

use {
    super::{engine::EngineSettings, vms::ListedVm, weights::WeightLimits},
    crate::{
        settings::{SettingsChecker, SettingsFault},
        settings_struct,
        telemetry::{LogFormat, LogLevel},
    },
    serde::Deserialize,
    std::net::SocketAddr,
};

/// What a stand-in takes the place of.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum StandinKind {
    /// The key-value service.
    Kv,
    /// The VM list.
    Vms {
        /// The VMs that it shows at first.
        #[serde(default)]
        vms: Vec<ListedVm>,
    },
    /// The weight store.
    Weights {
        /// Its limits.
        #[serde(default)]
        limits: WeightLimits,
    },
    /// A model engine.
    Engine {
        /// The weight store; one without rate limits of others when none is named.
        #[serde(default)]
        weights_address: Option<SocketAddr>,
        /// Its sizes and speeds.
        #[serde(default)]
        engine: EngineSettings,
    },
    /// A plain service.
    Plain,
}

/// One stand-in of a process.
#[derive(Debug, Clone, Deserialize)]
pub struct StandinSpec {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where its fault switches are served.
    #[serde(default)]
    pub control_address: Option<SocketAddr>,
    /// What it takes the place of.
    #[serde(flatten)]
    pub kind: StandinKind,
}

settings_struct! {
    /// Settings of a process of stand-ins.
    pub struct StandinSettings check check {
        #[doc = " The stand-ins, each with `kind`, `address` and `control_address`."]
        stand_ins: Vec<StandinSpec>,
        #[doc = " Worker threads."]
        threads: usize = "2",
        #[doc = " The least severe log messages: error, warn, info or debug."]
        log_level: LogLevel = "\"info\"",
        #[doc = " The shape of log lines: text or json."]
        log_format: LogFormat = "\"text\"",
    }
}

fn check(settings: &StandinSettings, faults: &mut Vec<SettingsFault>) {
    let mut checker = SettingsChecker::new(faults);
    checker.require_at_least("threads", settings.threads as u64, 1);
    checker.require(
        !settings.stand_ins.is_empty(),
        "stand_ins",
        "must name a stand-in",
    );
}
