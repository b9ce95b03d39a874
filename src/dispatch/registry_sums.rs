//! Reports to and from the node that aggregates the load of several nodes.

use {
    super::{
        LimitReport, LoadSum, ModelDemand, NodeReport, RunnerHash, RunnerRegistry, RunnerUsage,
    },
    crate::{
        discovery::RunnerKey,
        quarantine::{QuarantineMessage, Verdict},
        traffic::NodeName,
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// The report that a node sends to its aggregator.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AggregatorReport {
    /// The load from the node's own requests, sorted by runner.
    pub loads: Vec<(RunnerHash, LoadSum)>,
    /// The node's requests in flight by variant.
    pub uses: Vec<RunnerUsage>,
    /// The demand that arrives at the node.
    pub demand: Vec<ModelDemand>,
    /// Whether the node plans for all nodes, and needs demand and loads by variant.
    pub plan_wanted: bool,
    /// Runners that are draining or no longer listed.
    pub leaving: Vec<RunnerKey>,
    /// Runners whose responses said lately that they leave.
    pub stated_leaving: Vec<RunnerKey>,
    /// Runners that the node failed to connect to since the last round.
    pub unreachable: Vec<RunnerKey>,
    /// Crashed runners, and contents that turned out harmless or were quarantined.
    pub quarantine: Vec<QuarantineMessage>,
    /// All verdicts that hold.
    pub verdicts: Vec<Verdict>,
    /// Limits of runners that changed.
    pub changed_limits: Vec<LimitReport>,
    /// All limits that runners name.
    pub known_limits: Vec<LimitReport>,
}

impl RunnerRegistry {
    /// Returns the report for the aggregator.
    pub fn aggregator_report(&self) -> AggregatorReport {
        let now = Instant::now();
        self.shared.with_state(|state, _| {
            let mut report = AggregatorReport {
                demand: state.due_demand(true, now),
                plan_wanted: state.needs_planning_data(now),
                leaving: state.leaving(now),
                stated_leaving: state.stated(now),
                unreachable: state.take_unreachable(),
                quarantine: state.quarantine.take_messages(),
                verdicts: state.quarantine.verdicts(now),
                changed_limits: state.due_limits(false, now),
                known_limits: state.known_limits(now),
                ..AggregatorReport::default()
            };
            for (key, load) in state.due_loads(true, now) {
                if load.requests > 0 {
                    let runner = RunnerHash::of(&key);
                    report.loads.push((runner, LoadSum::from(&load)));
                    let in_use = load.in_use;
                    report.uses.push(RunnerUsage { runner, in_use });
                }
            }
            report.loads.sort_unstable_by_key(|(runner, _)| *runner);
            report.uses.retain(|used| !used.in_use.is_empty());
            report
        })
    }

    /// Applies the summed load of all other nodes; `replace` clears the sums of other runners.
    pub fn apply_load_sums(&self, sums: &[(RunnerHash, LoadSum)], replace: bool) {
        let now = Instant::now();
        let mut sorted = sums.to_vec();
        sorted.sort_by_key(|(runner, _)| *runner);
        self.shared
            .update(now, |state| state.record_load_sums(&sorted, replace, now));
    }

    /// Extends the validity of the sums that were received within `received_within`.
    pub fn renew_load_sums(&self, received_within: Duration) {
        let now = Instant::now();
        self.shared
            .with_state(|state, _| state.renew_load_sums(received_within, now));
    }

    /// Applies an urgent report of any node.
    pub fn apply_urgent_report(&self, report: NodeReport) {
        self.apply_peer_report(&aggregate_node_name(), report);
    }

    /// Applies the demand and the loads by variant of all other nodes.
    pub fn apply_planning_data(&self, demand: Vec<ModelDemand>, uses: Vec<RunnerUsage>) {
        let now = Instant::now();
        self.shared.with_state(|state, _| {
            for used in uses {
                state.record_usage(used, now);
            }
        });
        let report = NodeReport {
            demand,
            ..NodeReport::default()
        };
        self.apply_peer_report(&aggregate_node_name(), report);
    }
}

/// Returns the node name under which summed loads are stored; no real node has an empty name.
pub(super) fn aggregate_node_name() -> NodeName {
    "".into()
}
