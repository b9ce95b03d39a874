//! Choice of the aggregator that a node of a large system reports to.

use {
    super::{
        AggregationContext, AggregationProtocol, DatagramKind, DatagramPurpose, GossipPeer,
        Outgoing, aggregation::AggregatorChoice, digest_watch::DigestWatch, encode_datagram,
        rank_nodes,
    },
    tokio::time::Instant,
};

impl AggregationProtocol {
    /// Chooses the aggregator: the first node of the own data centre's ranking that responds.
    pub(super) fn choose_aggregator(
        &mut self,
        context: &AggregationContext,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let now = context.now;
        let choice = if context.is_large {
            self.learned_aggregator = None;
            self.first_responsive(context, outgoing)
        } else {
            match self.learned_aggregator(now).cloned() {
                Some(peer) => AggregatorChoice::OtherNode(peer),
                None => AggregatorChoice::Unavailable,
            }
        };
        let same = match (&choice, &self.choice) {
            (AggregatorChoice::OtherNode(new), AggregatorChoice::OtherNode(known)) => {
                new.name == known.name
            }
            (new, known) => new == known,
        };
        if !same {
            log::debug!("gossip: aggregator changed to {choice:?}");
            self.aggregator_changes += 1;
            if self.choice == AggregatorChoice::Unavailable {
                self.digest_watch = DigestWatch::new(now);
            }
            self.has_full_digest = false;
            self.due.report = now;
            self.due.planning_data = now;
            self.due.digest = now;
        }
        self.choice = choice;
    }

    fn first_responsive(
        &self,
        context: &AggregationContext,
        outgoing: &mut Vec<Outgoing>,
    ) -> AggregatorChoice {
        let others = context
            .peers
            .iter()
            .filter(|p| p.name != self.own_node.name);
        for node in rank_nodes(others.chain([&self.own_node]), &self.own_node.zone) {
            if node.name == self.own_node.name {
                return AggregatorChoice::ThisNode;
            }
            if !self.failure_detector.is_suspected(&node.name, context.now) {
                return AggregatorChoice::OtherNode(node.into());
            }
            if self.failure_detector.is_probe_due(&node.name, context.now) {
                let sender = self.sender(context.config_version);
                let bytes = encode_datagram(&sender, &DatagramKind::Ping, &[]);
                let address = node.gossip_address;
                outgoing.push(Outgoing {
                    address,
                    purpose: DatagramPurpose::Probe,
                    bytes,
                });
            }
        }
        AggregatorChoice::Unavailable
    }

    /// Returns the aggregator that a node with a short list of peers learned of, while it responds.
    pub(super) fn learned_aggregator(&self, now: Instant) -> Option<&GossipPeer> {
        let learned = self.learned_aggregator.as_ref();
        let peer = learned.filter(|(_, until)| now < *until);
        let peer = peer.map(|(peer, _)| peer);
        peer.filter(|peer| !self.failure_detector.is_suspected(&peer.name, now))
    }
}
