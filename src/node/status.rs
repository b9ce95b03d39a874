//! What a node tells operators of itself.

use {
    crate::{
        discovery::RunnerState,
        dispatch::RunnerView,
        telemetry::MetricText,
        traffic::{AdapterId, ModelId, NodeName, RunnerId, ServiceId, ZoneId},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The state of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: NodeName,
    /// Its data centre.
    pub data_centre: ZoneId,
    /// Whether it takes new requests.
    pub is_ready: bool,
    /// The version of the configuration in force.
    pub config_version: Option<u64>,
    /// The fencing token with which it leads, if it does.
    pub leads_with: Option<u64>,
    /// The node that leads, as last read.
    pub leader: Option<NodeName>,
    /// The leader's fencing token, as last read.
    pub fencing_token: Option<u64>,
    /// The other nodes.
    pub peers: Vec<PeerStatus>,
    /// The runners that the platform lists.
    pub runners: Vec<RunnerStatus>,
    /// Requests that wait here for a runner.
    pub waiting: Vec<WaitingStatus>,
    /// What the node refused since its start.
    pub refused: Vec<RefusedStatus>,
    /// How long ago each part of the store's keys last had an answer.
    pub watches: Vec<WatchStatus>,
}

/// Another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its name.
    pub node: NodeName,
    /// Where it answers operators.
    pub control_address: SocketAddr,
}

/// A runner and what it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerStatus {
    /// Its name.
    pub runner: RunnerId,
    /// When it started, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// Its service.
    pub service: ServiceId,
    /// Its data centre.
    pub data_centre: ZoneId,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Requests in flight from all nodes.
    pub in_flight: u32,
    /// The models that it holds, each with its adapters.
    pub models: Vec<(ModelId, Vec<AdapterId>)>,
}

/// Requests that wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingStatus {
    /// The service.
    pub service: ServiceId,
    /// The requests.
    pub requests: usize,
}

/// Requests that were refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedStatus {
    /// Why.
    pub reason: String,
    /// The requests.
    pub requests: u64,
}

/// A watch on the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchStatus {
    /// The prefix of its keys.
    pub prefix: String,
    /// The time since its last answer.
    pub age_ms: u64,
}

impl RunnerStatus {
    /// Describes a runner as a node sees it.
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
    /// Adds gauges to a text of metrics.
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
