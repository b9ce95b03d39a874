//! The settings file of a node.

use {
    crate::{
        gossip::{DEFAULT_LINK_MBPS, DIRECT_PEERS_MAX},
        quotas::QuotaBounds,
        request_memory::DEFAULT_MEMORY_MB,
        security::{SharedKey, TlsFiles},
        telemetry::{LogFormat, LogLevel, LogRules},
        traffic::{NodeName, ZoneId},
    },
    serde::{Deserialize, Deserializer, Serialize, de},
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
        path::Path,
    },
    thiserror::Error,
};

/// The settings of a node, from a JSON file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeSettings {
    /// The name of the node.
    pub node: NodeName,
    /// The data centre of the node.
    pub data_centre: ZoneId,
    /// The IP address of the node.
    pub ip: Ipv4Addr,
    /// The number of runtime threads.
    #[serde(default = "one")]
    pub threads: usize,
    /// The address for callers.
    pub callers_address: SocketAddr,
    /// The address of the platform's readiness probe.
    pub ready_address: SocketAddr,
    /// The address of the control port, for peers and operators.
    pub control_address: SocketAddr,
    /// The control addresses of a few nodes to contact at the start; some may be unreachable.
    #[serde(default)]
    pub seed_addresses: Vec<SocketAddr>,
    /// The port that serves only metrics, on the node's IP address; 0 for none.
    #[serde(default)]
    pub metrics_port: u16,
    /// The UDP port for gossip, the same on all nodes.
    pub gossip_port: u16,
    /// The UDP port for the quotas of workspaces, the same on all nodes; 0 if nodes do not share
    /// quotas, so that each uses an equal part.
    #[serde(default)]
    pub quota_port: u16,
    /// The largest number of peers with which nodes exchange their loads directly; with more, a few
    /// nodes of each data centre aggregate the loads.
    #[serde(default = "default_direct_peers_max")]
    pub direct_peers_max: usize,
    /// The rate of the node's link in Mbit/s, of which gossip uses a share.
    #[serde(default = "default_link_mbps", deserialize_with = "read_rate")]
    pub link_mbps: f64,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The time for which the store keeps its history; no watch may be silent for longer.
    #[serde(default = "default_history_s")]
    pub store_history_s: f64,
    /// The limit on open file descriptors of the process.
    #[serde(default = "default_descriptors")]
    pub descriptors_max: usize,
    /// The memory of the VM in MB, which bounds the bodies of requests and responses and the
    /// callers' connections.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// The TLS files for connections from peers and operators; no TLS without them.
    #[serde(default)]
    pub tls: Option<TlsFiles>,
    /// The operator keys, one of which a state-changing control request needs; none if empty.
    #[serde(default)]
    pub operator_keys: Vec<SharedKey>,
    /// The keys that authenticate gossip datagrams; the first is used for sending. No datagram is
    /// authenticated if there are none.
    #[serde(default)]
    pub gossip_keys: Vec<SharedKey>,
    /// The time limits and budgets that the platform sets.
    pub bounds: Bounds,
    /// The lowest severity that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: LogLevel,
    /// The lowest logged severity of single parts, by the names of the source folders.
    #[serde(default)]
    pub log_levels: BTreeMap<String, LogLevel>,
    /// The format of log lines.
    #[serde(default = "default_log_format")]
    pub log_format: LogFormat,
}

/// The time limits and budgets that the platform sets.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// The time within which a draining runner must stop getting new requests.
    pub drain_ms: u64,
    /// The time that requests in flight have to finish after the begin of a planned stop.
    pub grace_s: f64,
    /// The time within which a published configuration must be active.
    pub config_apply_ms: u64,
    /// The largest number of retries of a service, as a share of its requests.
    pub retry_budget_ratio: f64,
    /// The window over which requests and retries are counted.
    pub budget_window_s: f64,
    /// The retries in a window, over all nodes, that are allowed regardless of the ratio.
    pub retry_budget_slack: f64,
    /// The leader's lease: the time for which a former leader may still send orders.
    pub lease_ms: u64,
    /// The time after a freeze of its process in which a node sends no orders.
    pub thaw_slack_ms: u64,
    /// Whether runners refuse orders with an outdated fencing token.
    pub fencing_enforced: bool,
    /// The window over which model loads from the weight store are counted.
    pub ceiling_window_s: f64,
    /// The time without contact after which a node counts as failed.
    pub contact_ms: u64,
    /// The shortest lease that the store grants.
    pub lease_min_ms: u64,
    /// Whether keys are refused by nodes whose configuration may be outdated.
    #[serde(default)]
    pub fail_closed: bool,
    /// The time after which a key that was taken away must not be served, if `fail_closed` is set.
    #[serde(default)]
    pub revoke_ms: Option<u64>,
    /// By how much all nodes together may exceed the quotas of workspaces.
    #[serde(flatten)]
    pub quotas: QuotaBounds,
}

/// The reason why a settings file cannot be used.
#[derive(Debug, Error)]
pub enum NodeSettingsError {
    /// The file cannot be read.
    #[error("the settings file {path} cannot be read: {cause}")]
    Read {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The file is not valid JSON, or a field is missing or invalid.
    #[error("the settings file {path}: {cause}")]
    Parse {
        /// The path of the file.
        path: String,
        /// The error of the JSON parser, with the field's name.
        cause: serde_json::Error,
    },
}

impl NodeSettings {
    /// Reads and parses a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or a field is missing or invalid.
    pub fn read(path: &Path) -> Result<Self, NodeSettingsError> {
        let path_text = || path.display().to_string();
        let bytes = std::fs::read(path).map_err(|cause| NodeSettingsError::Read {
            path: path_text(),
            cause,
        })?;
        Self::parse(path, &bytes)
    }

    /// Parses the content of a settings file; `path` only appears in errors.
    ///
    /// # Errors
    ///
    /// Fails if a field is missing or invalid.
    pub fn parse(path: &Path, content: &[u8]) -> Result<Self, NodeSettingsError> {
        serde_json::from_slice(content).map_err(|cause| NodeSettingsError::Parse {
            path: path.display().to_string(),
            cause,
        })
    }

    /// Returns the log levels, by default and by part.
    pub fn log_rules(&self) -> LogRules {
        LogRules {
            level: self.log_level,
            parts: self.log_levels.clone(),
        }
    }
}

fn one() -> usize {
    1
}

fn default_direct_peers_max() -> usize {
    DIRECT_PEERS_MAX
}

/// Reads a rate, which must be above 0.
fn read_rate<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let rate = f64::deserialize(deserializer)?;
    match rate.is_finite() && rate > 0.0 {
        true => Ok(rate),
        false => Err(<D::Error as de::Error>::custom(format!(
            "link_mbps is {rate}, must be above 0"
        ))),
    }
}

fn default_link_mbps() -> f64 {
    DEFAULT_LINK_MBPS
}

fn default_history_s() -> f64 {
    20.0
}

fn default_descriptors() -> usize {
    1024
}

fn default_memory_mb() -> u64 {
    DEFAULT_MEMORY_MB
}

fn default_log_level() -> LogLevel {
    LogLevel::Info
}

fn default_log_format() -> LogFormat {
    LogFormat::Text
}
