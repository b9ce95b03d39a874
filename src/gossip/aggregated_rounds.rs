//! Connects load aggregation to the socket and to the node's runner state.

use {
    super::{
        AggregationContext, AggregationOutput, AggregationProtocol, Datagram, DatagramPurpose,
        Event, Gossip, gossip::lock,
    },
    crate::{dispatch::NodeReport, quarantine::QuarantineMessage},
    std::net::SocketAddr,
    tokio::time::Instant,
};

impl Gossip {
    /// Returns whether this node reports its load to an aggregator instead of to all peers.
    pub(super) fn uses_aggregation(&self) -> bool {
        lock(&self.aggregation).uses_aggregation(self.is_large(), Instant::now())
    }

    fn is_large(&self) -> bool {
        self.peers.borrow().len() > self.direct_peers_max
    }

    /// Runs the sends of load aggregation that are due.
    pub(super) async fn send_aggregated(&self) {
        let own = self.registry.aggregator_report();
        let output = self.with_aggregation(|aggregation, context| aggregation.tick(&own, context));
        self.apply_and_send(output).await;
    }

    /// Processes a datagram, whose direct items are applied already.
    pub(super) async fn process_aggregated(&self, datagram: Datagram, address: SocketAddr) {
        let output = self.with_aggregation(|aggregation, context| {
            aggregation.receive(datagram, address, context)
        });
        self.apply_and_send(output).await;
    }

    fn with_aggregation(
        &self,
        work: impl FnOnce(&mut AggregationProtocol, &AggregationContext) -> AggregationOutput,
    ) -> AggregationOutput {
        let newest = self.newest_config.borrow().clone();
        let peers = self.peers.borrow();
        let context = AggregationContext {
            peers: &peers,
            config_version: self.config_version(),
            newest_config: newest.as_ref().map(|known| (&known.node, known.version.0)),
            is_large: peers.len() > self.direct_peers_max,
            now: Instant::now(),
        };
        work(&mut lock(&self.aggregation), &context)
    }

    async fn apply_and_send(&self, output: AggregationOutput) {
        self.apply_to_registry(&output);
        for outgoing in &output.outgoing {
            self.send_to(&outgoing.bytes, outgoing.address, outgoing.purpose)
                .await;
        }
        if !output.broadcast.is_empty() {
            for address in self.peer_addresses() {
                for bytes in &output.broadcast {
                    self.send_to(bytes, address, DatagramPurpose::Broadcast)
                        .await;
                }
            }
        }
    }

    fn apply_to_registry(&self, output: &AggregationOutput) {
        if let Some(received_within) = output.renew_received_within {
            self.registry.renew_load_sums(received_within);
        }
        if output.replace_sums || !output.sums.is_empty() {
            self.registry
                .apply_load_sums(&output.sums, output.replace_sums);
        }
        let planning = &output.planning;
        if !(planning.demand.is_empty() && planning.uses.is_empty()) {
            self.registry
                .apply_planning_data(planning.demand.clone(), planning.uses.clone());
        }
        let mut report = NodeReport::default();
        for event in &output.events {
            match event {
                Event::Leaving(key) => report.leaving.push(key.clone()),
                Event::StatedLeaving(key) => report.stated_leaving.push(key.clone()),
                Event::Unreachable(key) => report.unreachable.push(key.clone()),
                Event::Held(change) => report.residency_changes.push(change.clone()),
                Event::Quarantine(message) => report.quarantine.push(message.clone()),
                Event::Limit(limit) => report.limits.push(limit.clone()),
                Event::Config(_) => {}
            }
        }
        if !output.events.is_empty() {
            self.registry.apply_urgent_report(report);
        }
        if !(output.verdicts.is_empty() && output.limits.is_empty()) {
            let verdicts = output.verdicts.iter().copied();
            self.registry.apply_urgent_report(NodeReport {
                quarantine: verdicts.map(QuarantineMessage::Verdict).collect(),
                limits: output.limits.clone(),
                ..NodeReport::default()
            });
        }
        for (node, version) in &output.peer_configs {
            self.record_peer_config(node, *version);
        }
        if output.needs_urgent_round {
            self.registry.request_urgent_round();
        }
    }
}
