//! Runners that said to this entry that they are leaving.

use {
    super::Routes,
    crate::units::{Incarnation, RunnerName},
    std::sync::{Mutex, MutexGuard, PoisonError},
};

/// The runners that said they are leaving, each with its start; a later start takes work again.
#[derive(Debug, Default)]
pub struct LeavingRunners {
    runners: Mutex<Vec<(RunnerName, Incarnation)>>,
}

impl LeavingRunners {
    /// Takes note that this start of a runner is leaving.
    pub fn insert(&self, runner: &RunnerName, incarnation: Incarnation) {
        let mut runners = self.lock();
        match runners.binary_search_by(|(found, _)| found.cmp(runner)) {
            Ok(position) => runners[position].1 = runners[position].1.max(incarnation),
            Err(position) => runners.insert(position, (runner.clone(), incarnation)),
        }
    }

    /// Returns the runners whose start in these routes is leaving.
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
