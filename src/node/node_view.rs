//! Builds the status and the metrics of a node.

use {
    super::{
        NodeStatus, PeerStatus, QuarantinedStatus, RefusedStatus, RunnerStatus, WaitingStatus,
        WatchStatus, render_demand,
    },
    crate::{
        capacity::render_speeds,
        copies::OrderCounters,
        dispatch::RunnerRegistry,
        freshness::ConfigAge,
        gossip::Gossip,
        http::Readiness,
        leader::Membership,
        relay::Relay,
        store::MeteredStore,
        telemetry::{MetricText, TimerLag},
        traffic::{ActiveConfig, NodeName, ZoneId},
    },
    std::{fmt, sync::Arc},
    tokio_util::sync::CancellationToken,
};

/// The parts of a node from which its status and metrics are built.
#[derive(Clone)]
pub struct NodeView {
    /// The name of the node.
    pub node: NodeName,
    /// The data centre of the node.
    pub data_centre: ZoneId,
    /// The active configuration.
    pub active_config: Arc<ActiveConfig>,
    /// The age of the active configuration.
    pub config_age: Arc<ConfigAge>,
    /// The runners and their load.
    pub registry: Arc<RunnerRegistry>,
    /// The node's membership and its view of the leader.
    pub membership: Arc<Membership>,
    /// The store client with its call counters.
    pub store: Arc<MeteredStore>,
    /// The relay of callers' requests.
    pub relay: Arc<Relay>,
    /// The counters of orders sent by this node.
    pub order_counters: Arc<OrderCounters>,
    /// The exchange of state with the peers.
    pub gossip: Arc<Gossip>,
    /// How late the timers of the process fire.
    pub timer_lag: Arc<TimerLag>,
    /// Whether the node accepts new requests.
    pub readiness: Readiness,
    /// Cancelled to begin a planned stop.
    pub stop: CancellationToken,
}

impl fmt::Debug for NodeView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("NodeView")
    }
}

impl NodeView {
    /// Returns the status of the node.
    pub fn status(&self) -> NodeStatus {
        let term = *self.membership.term.borrow();
        let (leader, fencing_token) = self.membership.leader().unzip();
        let peers = self.membership.peers.borrow();
        let peers = peers.iter().map(|peer| PeerStatus {
            node: peer.name.clone(),
            control_address: peer.control_address,
        });
        let waiting = self.registry.waiting_requests().into_iter();
        let refused = self.relay.counters().refusals().into_iter();
        let watches = self.store.watch_ages().into_iter();
        NodeStatus {
            node: self.node.clone(),
            data_centre: self.data_centre.clone(),
            is_ready: self.readiness.get(),
            config_version: self.active_config.version().map(|version| version.0),
            leads_with: term.map(|term| term.fencing_token),
            leader,
            fencing_token,
            peers: peers.collect(),
            runners: self
                .registry
                .runners()
                .iter()
                .map(RunnerStatus::new)
                .collect(),
            waiting: waiting
                .map(|(service, requests)| WaitingStatus { service, requests })
                .collect(),
            refused: refused
                .map(|(reason, requests)| RefusedStatus {
                    reason: reason.to_owned(),
                    requests,
                })
                .collect(),
            quarantined: self
                .registry
                .verdicts()
                .iter()
                .filter(|verdict| verdict.is_quarantined)
                .map(|verdict| QuarantinedStatus {
                    content: verdict.content.to_string(),
                    remaining_ms: verdict.remaining_ms,
                })
                .collect(),
            watches: watches
                .map(|(prefix, age)| WatchStatus {
                    prefix,
                    age_ms: age.as_millis() as u64,
                })
                .collect(),
        }
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        log::debug!("node: metrics are requested");
        let mut text = MetricText::default();
        // A collector that cuts long pages keeps what tells the causes of delays apart.
        self.gossip.render(&mut text);
        self.timer_lag.render(&mut text);
        self.registry.send_counters().render(&mut text);
        self.order_counters.render(&mut text);
        self.store.render(&mut text);
        text.single(
            "ggt_store_rollbacks_total",
            "counter",
            "Times this node found that the store had gone back to an older copy of itself.",
            self.membership.store_rollbacks() as f64,
        );
        self.config_age.render(&mut text);
        self.registry.attempt_counters().render(&mut text);
        self.registry.ended_attempts().render(&mut text);
        self.registry.limit_counters().render(&mut text);
        self.relay.counters().render(&mut text);
        if let Some(quotas) = self.relay.quotas() {
            quotas.render(&mut text);
        }
        self.relay.memory().render(&mut text);
        self.status().render(&mut text);
        render_speeds(&self.registry.speeds(), &mut text);
        render_demand(&self.registry.demand(), &mut text);
        text.finish()
    }
}
