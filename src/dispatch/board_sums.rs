//! The board's side of sums of load over several nodes.

use {
    super::{LoadSum, ModelDemand, NodeReport, RunnerBoard, RunnerHash, RunnerUse},
    crate::{discovery::RunnerKey, traffic::NodeName},
    std::time::Duration,
    tokio::time::Instant,
};

/// What a node tells the one that sums up.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OwnReport {
    /// Its load, sorted by runner.
    pub loads: Vec<(RunnerHash, LoadSum)>,
    /// The same by variant.
    pub uses: Vec<RunnerUse>,
    /// The demand that it sees.
    pub demand: Vec<ModelDemand>,
    /// Whether it plans for all nodes, and has to know demand and loads by variant.
    pub plan_wanted: bool,
    /// Runners that are leaving or gone.
    pub leaving: Vec<RunnerKey>,
    /// Runners that it could not reach since the last round.
    pub unreachable: Vec<RunnerKey>,
}

impl RunnerBoard {
    /// Returns all that a node tells the one that sums up.
    pub fn own_report(&self) -> OwnReport {
        let now = Instant::now();
        self.shared.with_state(|state, _| {
            let mut report = OwnReport {
                demand: state.untold_demand(true, now),
                plan_wanted: state.is_plan_wanted(now),
                leaving: state.leaving(now),
                unreachable: state.unreachable(),
                ..OwnReport::default()
            };
            for (key, load) in state.untold_loads(true, now) {
                if load.requests > 0 {
                    let runner = RunnerHash::of(&key);
                    report.loads.push((runner, LoadSum::from(&load)));
                    let in_use = load.in_use;
                    report.uses.push(RunnerUse { runner, in_use });
                }
            }
            report.loads.sort_unstable_by_key(|(runner, _)| *runner);
            report.uses.retain(|used| !used.in_use.is_empty());
            report
        })
    }

    /// Takes over what all others put on some runners; `replace` voids all sums but these.
    pub fn hear_sums(&self, sums: &[(RunnerHash, LoadSum)], replace: bool) {
        let now = Instant::now();
        let mut sorted = sums.to_vec();
        sorted.sort_by_key(|(runner, _)| *runner);
        self.shared
            .change(now, |state| state.hear_sums(&sorted, replace, now));
    }

    /// Lets sums count on that were told within a span.
    pub fn renew_sums(&self, told_within: Duration) {
        let now = Instant::now();
        self.shared
            .with_state(|state, _| state.renew_sums(told_within, now));
    }

    /// Takes over urgent news of any node.
    pub fn hear_news(&self, news: NodeReport) {
        self.hear(&sum_name(), news);
    }

    /// Takes over the demand and the loads by variant of all others.
    pub fn hear_plan(&self, demand: Vec<ModelDemand>, uses: Vec<RunnerUse>) {
        let now = Instant::now();
        self.shared.with_state(|state, _| {
            for used in uses {
                state.hear_use(used, now);
            }
        });
        let report = NodeReport {
            demand,
            ..NodeReport::default()
        };
        self.hear(&sum_name(), report);
    }
}

/// Returns the name under which sums count; no node has it.
pub(super) fn sum_name() -> NodeName {
    "".into()
}
