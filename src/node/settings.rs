//! The settings of a node.

use {
    crate::{
        gossip::DIRECT_PEERS_MAX,
        security::{SharedKey, TlsFiles},
        telemetry::{LogFormat, LogLevel, LogRules},
        traffic::{NodeName, ZoneId},
    },
    serde::{Deserialize, Serialize},
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
    /// The node's name.
    pub node: NodeName,
    /// Its data centre.
    pub data_centre: ZoneId,
    /// Its own address.
    pub ip: Ipv4Addr,
    /// The threads that serve.
    #[serde(default = "one")]
    pub threads: usize,
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Where the platform asks whether the node is ready.
    pub ready_address: SocketAddr,
    /// Where peers fetch the configuration and operators look.
    pub control_address: SocketAddr,
    /// Control addresses of a few nodes; some may be gone.
    #[serde(default)]
    pub seed_addresses: Vec<SocketAddr>,
    /// The port for metrics alone, on the node's own address; none when 0.
    #[serde(default)]
    pub metrics_port: u16,
    /// The UDP port on which nodes exchange their state, the same on all.
    pub gossip_port: u16,
    /// The peers up to which nodes tell one another of their load directly; with more of them a
    /// few nodes of each data centre sum it up.
    #[serde(default = "default_direct_peers_max")]
    pub direct_peers_max: usize,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// How long the store keeps its history; no watch may be quiet for longer.
    #[serde(default = "default_history_s")]
    pub store_history_s: f64,
    /// The open descriptors that the process may have.
    #[serde(default = "default_descriptors")]
    pub descriptors_max: usize,
    /// The files of TLS between nodes and towards operators; no TLS without them.
    #[serde(default)]
    pub tls: Option<TlsFiles>,
    /// The keys of which a changing call to the control port needs one; none is needed when empty.
    #[serde(default)]
    pub operator_keys: Vec<SharedKey>,
    /// The keys of the datagrams between nodes, the one to send with first; not sealed when empty.
    #[serde(default)]
    pub gossip_keys: Vec<SharedKey>,
    /// The platform's bounds.
    pub bounds: Bounds,
    /// The least severe messages that are logged.
    #[serde(default = "default_log_level")]
    pub log_level: LogLevel,
    /// The same for single parts, by the names of the folders of the sources.
    #[serde(default)]
    pub log_levels: BTreeMap<String, LogLevel>,
    /// The shape of log lines.
    #[serde(default = "default_log_format")]
    pub log_format: LogFormat,
}

/// The platform's bounds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// The time after which a leaving runner gets no more requests.
    pub drain_ms: u64,
    /// The time for requests in flight after a planned stop began.
    pub grace_s: f64,
    /// The time in which a change of the configuration takes effect.
    pub config_apply_ms: u64,
    /// Further tries that a service may get, as a share of its requests.
    pub retry_budget_ratio: f64,
    /// The span over which they are counted.
    pub budget_window_s: f64,
    /// Further tries that are free in that span, over all nodes.
    pub retry_budget_slack: f64,
    /// The time for which a former holder may still give orders.
    pub lease_ms: u64,
    /// The time after a freeze in which a node gives no orders.
    pub thaw_slack_ms: u64,
    /// Whether runners refuse orders with an old fencing token.
    pub fencing_enforced: bool,
    /// The span over which loads are counted.
    pub ceiling_window_s: f64,
    /// The time after a node's loss of contact until it counts as gone.
    pub contact_ms: u64,
    /// The shortest lease that the store grants.
    pub lease_min_ms: u64,
}

/// Settings that cannot be used.
#[derive(Debug, Error)]
pub enum NodeSettingsError {
    /// The file cannot be read.
    #[error("the settings file {path} cannot be read: {cause}")]
    Read {
        /// The file.
        path: String,
        /// Why not.
        cause: std::io::Error,
    },
    /// The file does not have the expected form.
    #[error("the settings file {path}: {cause}")]
    Form {
        /// The file.
        path: String,
        /// What is wrong.
        cause: serde_json::Error,
    },
}

impl NodeSettings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or a field is missing or wrong.
    pub fn read(path: &Path) -> Result<Self, NodeSettingsError> {
        let shown = || path.display().to_string();
        let bytes = std::fs::read(path).map_err(|cause| NodeSettingsError::Read {
            path: shown(),
            cause,
        })?;
        Self::parse(path, &bytes)
    }

    /// Reads the settings from the content of a file.
    ///
    /// # Errors
    ///
    /// Fails when a field is missing or wrong.
    pub fn parse(path: &Path, content: &[u8]) -> Result<Self, NodeSettingsError> {
        serde_json::from_slice(content).map_err(|cause| NodeSettingsError::Form {
            path: path.display().to_string(),
            cause,
        })
    }

    /// Returns what is logged.
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

fn default_history_s() -> f64 {
    20.0
}

fn default_descriptors() -> usize {
    1024
}

fn default_log_level() -> LogLevel {
    LogLevel::Info
}

fn default_log_format() -> LogFormat {
    LogFormat::Text
}
