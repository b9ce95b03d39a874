//! Runners that announced to this entry that they are leaving.

use {
    super::Routes,
    crate::units::{Incarnation, RunnerName},
    std::sync::{Mutex, MutexGuard, PoisonError},
};

/// The runners that announced to leave, each with its incarnation; a later incarnation gets requests
/// again.
#[derive(Debug, Default)]
pub struct LeavingRunners {
    runners: Mutex<Vec<(RunnerName, Incarnation)>>,
}

impl LeavingRunners {
    /// Records that this incarnation of a runner is leaving.
    pub fn insert(&self, runner: &RunnerName, incarnation: Incarnation) {
        let mut runners = self.lock();
        match runners.binary_search_by(|(found, _)| found.cmp(runner)) {
            Ok(position) => runners[position].1 = runners[position].1.max(incarnation),
            Err(position) => runners.insert(position, (runner.clone(), incarnation)),
        }
    }

    /// Returns the runners whose incarnation in these routes is leaving.
    pub fn runners(&self, routes: &Routes) -> Vec<RunnerName> {
        let runners = self.lock();
        runners
            .iter()
            .filter(|(runner, leaving)| routes.incarnation(runner) <= Some(*leaving))
            .map(|(runner, _)| runner.clone())
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(RunnerName, Incarnation)>> {
        self.runners.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
