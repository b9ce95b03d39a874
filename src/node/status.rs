//! The status of a node, as operators see it.

use {
    crate::{
        discovery::RunnerState,
        dispatch::RunnerView,
        quarantine::ContentId,
        telemetry::MetricText,
        traffic::{AdapterId, ModelId, NodeName, RunnerId, ServiceId, ZoneId},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The status of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The name of the node.
    pub node: NodeName,
    /// The data centre of the node.
    pub data_centre: ZoneId,
    /// Whether the node accepts new requests.
    pub is_ready: bool,
    /// The version of the active configuration.
    pub config_version: Option<u64>,
    /// The fencing token of the node's own term, if the node leads.
    pub leads_with: Option<u64>,
    /// The leader, as last read from the store.
    pub leader: Option<NodeName>,
    /// The leader's fencing token, as last read from the store.
    pub fencing_token: Option<u64>,
    /// The other nodes.
    pub peers: Vec<PeerStatus>,
    /// The runners in the platform's list.
    pub runners: Vec<RunnerStatus>,
    /// The requests that wait on this node for a runner, by service.
    pub waiting: Vec<WaitingStatus>,
    /// The requests that the node refused since its start, by reason.
    pub refused: Vec<RefusedStatus>,
    /// The quarantined requests and prompt parts.
    #[serde(default)]
    pub quarantined: Vec<QuarantinedStatus>,
    /// The watches on the store.
    pub watches: Vec<WatchStatus>,
}

/// Another node of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The name of the node.
    pub node: NodeName,
    /// The address of the node's control port.
    pub control_address: SocketAddr,
}

/// A runner with its load and its models.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerStatus {
    /// The name of the runner.
    pub runner: RunnerId,
    /// The start time of the runner in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// The service of the runner.
    pub service: ServiceId,
    /// The data centre of the runner.
    pub data_centre: ZoneId,
    /// The address for requests and orders.
    pub address: SocketAddr,
    /// Whether the runner is draining.
    pub is_draining: bool,
    /// The number of requests that the runner processes at the same time.
    pub slots: u32,
    /// The number of requests in flight from all nodes.
    pub in_flight: u32,
    /// The loaded models with their loaded adapters.
    pub models: Vec<(ModelId, Vec<AdapterId>)>,
}

/// The number of requests of a service that wait for a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingStatus {
    /// The name of the service.
    pub service: ServiceId,
    /// The number of requests.
    pub requests: usize,
}

/// The number of requests that were refused for one reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedStatus {
    /// The reason of the refusals.
    pub reason: String,
    /// The number of requests.
    pub requests: u64,
}

/// A request that is refused, or a prompt part whose requests are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedStatus {
    /// The prompt part in hexadecimal, or the digest of the request after `request-`.
    #[serde(alias = "part")]
    pub content: String,
    /// How long the quarantine lasts, in milliseconds.
    pub remaining_ms: u32,
}

impl QuarantinedStatus {
    /// Returns the kind and the identifier of the content, for people.
    pub fn description(&self) -> String {
        match self.content.parse() {
            Ok(ContentId::Request(digest)) => format!("request {digest}"),
            _ => format!("prompt part {}", self.content),
        }
    }
}

/// A watch on the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchStatus {
    /// The watched key prefix.
    pub prefix: String,
    /// The time since the store last responded to the watch.
    pub age_ms: u64,
}

impl RunnerStatus {
    /// Builds the status of a runner from a node's view of it.
    pub fn new(view: &RunnerView) -> Self {
        let entry = &view.entry;
        let models = entry.models.iter();
        Self {
            runner: entry.key.id.clone(),
            born_unix_ms: entry.key.born_unix_ms,
            service: entry.service.clone(),
            data_centre: entry.zone.clone(),
            address: entry.address,
            is_draining: entry.state != RunnerState::Ready,
            slots: entry.slots,
            in_flight: view.in_flight,
            models: models
                .map(|held| (held.model.clone(), held.adapters.clone()))
                .collect(),
        }
    }
}

impl NodeStatus {
    /// Adds the gauges of the status to a metrics text.
    pub fn render(&self, text: &mut MetricText) {
        let flag = |value: bool| if value { 1.0 } else { 0.0 };
        for (name, help, value) in [
            (
                "ggt_ready",
                "1 while the node takes new requests.",
                flag(self.is_ready),
            ),
            (
                "ggt_configuration_version",
                "The version in force; 0 before there is one.",
                self.config_version.unwrap_or(0) as f64,
            ),
            (
                "ggt_leads",
                "1 while this node gives the orders.",
                flag(self.leads_with.is_some()),
            ),
            (
                "ggt_fencing_token",
                "The leader's fencing token as last read; 0 if there is none.",
                self.fencing_token.unwrap_or(0) as f64,
            ),
            (
                "ggt_peers",
                "Other nodes that are registered.",
                self.peers.len() as f64,
            ),
            (
                "ggt_quarantined_contents",
                "Requests that are refused, and prompt parts whose requests are.",
                self.quarantined.len() as f64,
            ),
        ] {
            text.single(name, "gauge", help, value);
        }
        self.render_runners(text);
        let name = "ggt_waiting_requests";
        text.begin(
            name,
            "gauge",
            "Requests that wait here for a runner, by service.",
        );
        for waiting in &self.waiting {
            let labels = [("service", waiting.service.as_str())];
            text.value(name, &labels, waiting.requests as f64);
        }
    }

    fn render_runners(&self, text: &mut MetricText) {
        let name = "ggt_runners";
        text.begin(name, "gauge", "Listed runners, by state.");
        for (state, is_draining) in [("ready", false), ("draining", true)] {
            let runners = self.runners.iter();
            let count = runners.filter(|runner| runner.is_draining == is_draining);
            text.value(name, &[("state", state)], count.count() as f64);
        }
        let name = "ggt_runner_in_flight_requests";
        text.begin(
            name,
            "gauge",
            "Requests in flight from all nodes, by runner.",
        );
        for runner in &self.runners {
            let labels = [
                ("service", runner.service.as_str()),
                ("runner", runner.runner.as_str()),
            ];
            text.value(name, &labels, f64::from(runner.in_flight));
        }
        let name = "ggt_runner_models";
        text.begin(name, "gauge", "Models that a runner holds.");
        for runner in self
            .runners
            .iter()
            .filter(|runner| !runner.models.is_empty())
        {
            let labels = [("runner", runner.runner.as_str())];
            text.value(name, &labels, runner.models.len() as f64);
        }
        self.render_copies(text);
    }

    fn render_copies(&self, text: &mut MetricText) {
        let runners = self.runners.iter().filter(|runner| !runner.is_draining);
        let mut copies: Vec<_> = runners
            .flat_map(|runner| {
                runner
                    .models
                    .iter()
                    .map(|(model, _)| (&runner.service, model))
            })
            .collect();
        copies.sort();
        let name = "ggt_model_copies";
        text.begin(name, "gauge", "Ready runners that hold a model.");
        for group in copies.chunk_by(|a, b| a == b) {
            let (service, model) = group[0];
            let labels = [("service", service.as_str()), ("model", model.as_str())];
            text.value(name, &labels, group.len() as f64);
        }
    }
}
