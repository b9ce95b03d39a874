//! What the control port shows of a node.

use {
    super::{
        NodeStatus, PeerStatus, RefusedStatus, RunnerStatus, WaitingStatus, WatchStatus,
        render_demand,
    },
    crate::{
        copies::OrderCounters,
        dispatch::RunnerRegistry,
        http::Readiness,
        leader::Membership,
        relay::Relay,
        store::MeteredStore,
        telemetry::MetricText,
        traffic::{NodeName, TrafficBoard, ZoneId},
    },
    std::{fmt, sync::Arc},
    tokio_util::sync::CancellationToken,
};

/// The parts of a node that the control port shows.
#[derive(Clone)]
pub struct NodeView {
    /// The node.
    pub node: NodeName,
    /// Its data centre.
    pub data_centre: ZoneId,
    /// The configuration in force.
    pub traffic: Arc<TrafficBoard>,
    /// The runners.
    pub board: Arc<RunnerRegistry>,
    /// Its part among the nodes.
    pub membership: Arc<Membership>,
    /// The store, with its counts.
    pub store: Arc<MeteredStore>,
    /// The relay of callers' requests.
    pub relay: Arc<Relay>,
    /// The orders that it gave.
    pub orders: Arc<OrderCounters>,
    /// Whether it takes new requests.
    pub readiness: Readiness,
    /// Cancelled to begin the planned stop.
    pub stop: CancellationToken,
}

impl fmt::Debug for NodeView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("NodeView")
    }
}

impl NodeView {
    /// Returns the state of the node.
    pub fn status(&self) -> NodeStatus {
        let term = *self.membership.term.borrow();
        let (leader, fencing_token) = self.membership.leader().unzip();
        let peers = self.membership.peers.borrow();
        let peers = peers.iter().map(|peer| PeerStatus {
            node: peer.name.clone(),
            control_address: peer.control_address,
        });
        let waiting = self.board.waiting_requests().into_iter();
        let refused = self.relay.counts().refusals().into_iter();
        let watches = self.store.watch_ages().into_iter();
        NodeStatus {
            node: self.node.clone(),
            data_centre: self.data_centre.clone(),
            is_ready: self.readiness.get(),
            config_version: self.traffic.version().map(|version| version.0),
            leads_with: term.map(|term| term.fencing_token),
            leader,
            fencing_token,
            peers: peers.collect(),
            runners: self.board.runners().iter().map(RunnerStatus::new).collect(),
            waiting: waiting
                .map(|(service, requests)| WaitingStatus { service, requests })
                .collect(),
            refused: refused
                .map(|(reason, requests)| RefusedStatus {
                    reason: reason.to_owned(),
                    requests,
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

    /// Returns the metrics as text.
    pub fn metrics(&self) -> String {
        log::debug!("node: the metrics are read.");
        let mut text = MetricText::default();
        self.relay.counts().render(&mut text);
        self.board.attempt_counters().render(&mut text);
        self.orders.render(&mut text);
        self.store.render(&mut text);
        self.status().render(&mut text);
        render_demand(&self.board.demand(), &mut text);
        text.finish()
    }
}
