//! The demand that arrives at other nodes.

use {super::ModelDemand, crate::traffic::NodeName, std::time::Duration, tokio::time::Instant};

/// How long a peer's demand counts without another report.
const PEER_DEMAND_TTL_MS: u64 = 1_500;

/// The latest report of a node's demand for one variant.
#[derive(Debug)]
struct ReportedDemand {
    node: NodeName,
    demand: ModelDemand,
    received_at: Instant,
}

/// The demand at other nodes, sorted by node.
#[derive(Debug, Default)]
pub(super) struct PeerDemands {
    reports: Vec<ReportedDemand>,
}

impl PeerDemands {
    /// Records a node's demand; returns whether more requests wait there than before.
    pub(super) fn record(&mut self, node: &NodeName, demand: ModelDemand, now: Instant) -> bool {
        let key = (node, demand.key());
        let found = self
            .reports
            .binary_search_by(|report| (&report.node, report.demand.key()).cmp(&key));
        match found {
            Ok(position) => {
                let report = &mut self.reports[position];
                let more_wait = demand.waiting > report.demand.waiting;
                report.demand = demand;
                report.received_at = now;
                more_wait
            }
            Err(position) => {
                let more_wait = demand.waiting > 0;
                let report = ReportedDemand {
                    node: node.clone(),
                    demand,
                    received_at: now,
                };
                self.reports.insert(position, report);
                more_wait
            }
        }
    }

    /// Drops demand whose last report is too old.
    pub(super) fn expire(&mut self, now: Instant) {
        let ttl = Duration::from_millis(PEER_DEMAND_TTL_MS);
        self.reports.retain(|report| now < report.received_at + ttl);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &ModelDemand> {
        self.reports.iter().map(|report| &report.demand)
    }
}
