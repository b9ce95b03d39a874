//! The recent reports of a node, whose own load the node subtracts from received sums.

use {
    super::ReceivedRound,
    crate::dispatch::{LoadSum, RunnerHash},
    std::collections::VecDeque,
};

/// The number of reports that are kept.
const REPORTS_MAX: usize = 32;

/// The loads of the last reports.
#[derive(Debug, Default)]
pub struct ReportHistory(VecDeque<(u32, Vec<(RunnerHash, LoadSum)>)>);

impl ReportHistory {
    /// Records the reported loads of a round, sorted by runner.
    pub fn record(&mut self, round: u32, loads: Vec<(RunnerHash, LoadSum)>) {
        if self.0.len() == REPORTS_MAX {
            self.0.pop_front();
        }
        self.0.push_back((round, loads));
    }

    /// Returns the load of the other nodes at a runner, from a sum that includes report `heard`.
    ///
    /// A report of an earlier process of this node is not subtracted.
    pub fn subtract_own(
        &self,
        start: u64,
        heard: Option<ReceivedRound>,
        runner: RunnerHash,
        sum: LoadSum,
    ) -> LoadSum {
        let heard = heard.filter(|heard| heard.start == start);
        let Some((_, loads)) =
            heard.and_then(|heard| self.0.iter().find(|(round, _)| *round == heard.round))
        else {
            return sum;
        };
        let own = loads.binary_search_by_key(&runner, |(known, _)| *known);
        own.map_or(sum, |position| sum.minus(loads[position].1))
    }
}
