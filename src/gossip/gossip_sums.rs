//! Connects load aggregation to the socket and to the node's runner state.

use {
    super::{Datagram, Event, Exchange, Gossip, Learnt, Outgoing, Surroundings, gossip::lock},
    crate::dispatch::NodeReport,
    std::net::SocketAddr,
    tokio::time::Instant,
};

impl Gossip {
    /// Returns whether this node reports its load to an aggregator instead of to all peers.
    pub(super) fn takes_part(&self) -> bool {
        lock(&self.exchange).takes_part(self.is_large(), Instant::now())
    }

    fn is_large(&self) -> bool {
        self.peers.borrow().len() > self.direct_peers_max
    }

    /// Runs the sends of load aggregation that are due.
    pub(super) async fn send_sums(&self) {
        let own = self.board.aggregator_report();
        let learnt = self.with_exchange(|exchange, around| exchange.tick(&own, around));
        self.take(learnt).await;
    }

    /// Processes a datagram, whose direct items are applied already.
    pub(super) async fn hear_sums(&self, datagram: Datagram, address: SocketAddr) {
        let learnt =
            self.with_exchange(|exchange, around| exchange.hear(datagram, address, around));
        self.take(learnt).await;
    }

    fn with_exchange(&self, work: impl FnOnce(&mut Exchange, &Surroundings) -> Learnt) -> Learnt {
        let newest = self.newest_config.borrow().clone();
        let peers = self.peers.borrow();
        let around = Surroundings {
            peers: &peers,
            config_version: self.config_version(),
            newest_config: newest.as_ref().map(|known| (&known.node, known.version.0)),
            is_large: peers.len() > self.direct_peers_max,
            now: Instant::now(),
        };
        work(&mut lock(&self.exchange), &around)
    }

    async fn take(&self, learnt: Learnt) {
        self.learn(&learnt);
        for Outgoing { address, bytes } in &learnt.outgoing {
            self.send_to(bytes, *address).await;
        }
        if !learnt.to_all.is_empty() {
            for address in self.addresses() {
                for bytes in &learnt.to_all {
                    self.send_to(bytes, address).await;
                }
            }
        }
    }

    fn learn(&self, learnt: &Learnt) {
        if let Some(told_within) = learnt.renew_within {
            self.board.renew_load_sums(told_within);
        }
        if learnt.replace || !learnt.sums.is_empty() {
            self.board.apply_load_sums(&learnt.sums, learnt.replace);
        }
        let plan = &learnt.plan;
        if !(plan.demand.is_empty() && plan.uses.is_empty()) {
            self.board
                .apply_planning_data(plan.demand.clone(), plan.uses.clone());
        }
        let mut report = NodeReport::default();
        for event in &learnt.events {
            match event {
                Event::Leaving(key) => report.leaving.push(key.clone()),
                Event::Unreachable(key) => report.unreachable.push(key.clone()),
                Event::Held(note) => report.residency_changes.push(note.clone()),
                Event::Config(_) => {}
            }
        }
        if !learnt.events.is_empty() {
            self.board.apply_urgent_report(report);
        }
        for (node, version) in &learnt.configs {
            self.hear_config(node, *version);
        }
        if learnt.is_urgent {
            self.board.request_urgent_round();
        }
    }
}
