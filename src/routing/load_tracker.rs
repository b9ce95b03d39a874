//! The load and recent failures of each runner, shared by all threads of a process.

use {
    super::{LoadReport, runner_load::RunnerLoad, stable_hash},
    crate::units::RunnerName,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
};

/// The number of shards that the runners are spread over, each with its own lock.
const SHARD_COUNT: usize = 32;
/// The maximum age of a load report that the choice of a runner uses.
pub const REPORT_AGE_MAX_MS: u64 = 2_000;

type Shard = Vec<(RunnerName, RunnerLoad)>;

/// The load of each runner: requests of this process, the latest load report, and recent
/// failures.
#[derive(Debug)]
pub struct LoadTracker {
    shards: Vec<Mutex<Shard>>,
    report_age_max: Duration,
}

/// The load of one runner as the choice of a runner uses it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunnerLoadEstimate {
    /// The estimated number of requests at the runner.
    pub requests: u32,
    /// Whether the runner failed recently and should be used only if no other one can serve.
    pub failed_recently: bool,
}

/// A guard that counts one request of this process at a runner until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    load_tracker: Arc<LoadTracker>,
    runner: RunnerName,
}

impl LoadTracker {
    /// Creates an empty tracker that ignores reports older than [`REPORT_AGE_MAX_MS`].
    pub fn new() -> Self {
        Self::with_report_age_max(Duration::from_millis(REPORT_AGE_MAX_MS))
    }

    /// Creates an empty tracker that ignores reports older than `report_age_max`.
    pub fn with_report_age_max(report_age_max: Duration) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self {
            shards,
            report_age_max,
        }
    }

    /// Counts a request at a runner until the guard is dropped.
    pub fn start_request(self: &Arc<Self>, runner: &RunnerName) -> InFlightGuard {
        self.update(runner, RunnerLoad::start_request);
        InFlightGuard {
            load_tracker: Arc::clone(self),
            runner: runner.clone(),
        }
    }

    /// Records a load report of a runner.
    pub fn record_report(&self, runner: &RunnerName, report: LoadReport, now: Instant) {
        self.update(runner, |load| load.record_report(report, now));
    }

    /// Records that a runner refused a request, failed or did not respond.
    pub fn record_failure(&self, runner: &RunnerName, now: Instant) {
        self.update(runner, |load| load.record_failure(now));
    }

    /// Records that a runner answered a request successfully.
    pub fn record_success(&self, runner: &RunnerName) {
        self.update(runner, RunnerLoad::record_success);
    }

    /// Returns the number of this process's requests at a runner.
    pub fn in_flight(&self, runner: &RunnerName) -> u32 {
        self.read(runner, RunnerLoad::in_flight)
    }

    /// Returns the load estimate of a runner at `now`.
    pub fn load_estimate(&self, runner: &RunnerName, now: Instant) -> RunnerLoadEstimate {
        self.read(runner, |load| RunnerLoadEstimate {
            requests: load.requests(now, self.report_age_max),
            failed_recently: load.cooling_down(now) || load.on_probation(),
        })
    }

    /// Removes the runners that `keep` rejects and that have no request in flight.
    pub fn retain(&self, mut keep: impl FnMut(&RunnerName) -> bool) {
        for shard in &self.shards {
            lock(shard).retain(|(name, load)| load.in_flight() > 0 || keep(name));
        }
    }

    fn shard(&self, runner: &RunnerName) -> MutexGuard<'_, Shard> {
        lock(&self.shards[stable_hash(runner.as_str()) as usize % SHARD_COUNT])
    }

    fn update(&self, runner: &RunnerName, change: impl FnOnce(&mut RunnerLoad)) {
        let mut shard = self.shard(runner);
        let position = match shard.binary_search_by(|(name, _)| name.cmp(runner)) {
            Ok(position) => position,
            Err(position) => {
                shard.insert(position, (runner.clone(), RunnerLoad::default()));
                position
            }
        };
        change(&mut shard[position].1);
    }

    fn read<T: Default>(&self, runner: &RunnerName, read: impl FnOnce(&RunnerLoad) -> T) -> T {
        let shard = self.shard(runner);
        match shard.binary_search_by(|(name, _)| name.cmp(runner)) {
            Ok(position) => read(&shard[position].1),
            Err(_) => T::default(),
        }
    }
}

impl Default for LoadTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl InFlightGuard {
    /// Returns the runner that serves the request.
    pub fn runner(&self) -> &RunnerName {
        &self.runner
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.load_tracker
            .update(&self.runner, RunnerLoad::end_request);
    }
}

fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
