//! How busy each runner is, shared by all threads of a process.

use {
    super::{LoadReport, runner_load::RunnerLoad, stable_hash},
    crate::units::RunnerName,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Shards of the board, each under its own lock.
const SHARDS: usize = 32;
/// The oldest load report that a decision may use.
pub const REPORT_AGE_MAX_MS: u64 = 2_000;

type Shard = Vec<(RunnerName, RunnerLoad)>;

/// How busy each runner is: this process's own requests on it, its latest load report, and
/// whether it failed of late.
#[derive(Debug)]
pub struct LoadBoard {
    shards: Vec<Mutex<Shard>>,
    report_age_max: Duration,
}

/// What a decision needs to know of one runner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunnerPressure {
    /// The requests that are estimated to be on it.
    pub requests: u32,
    /// Whether it should be passed over when another one can serve, because it failed.
    pub suspect: bool,
}

/// One request of this process on a runner; it is counted until this is dropped.
#[derive(Debug)]
pub struct InFlight {
    board: Arc<LoadBoard>,
    runner: RunnerName,
}

impl LoadBoard {
    /// Creates an empty board that uses no report older than [`REPORT_AGE_MAX_MS`].
    pub fn new() -> Self {
        Self::with_report_age_max(Duration::from_millis(REPORT_AGE_MAX_MS))
    }

    /// Creates an empty board that uses no report older than `report_age_max`.
    pub fn with_report_age_max(report_age_max: Duration) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self {
            shards,
            report_age_max,
        }
    }

    /// Counts a request on a runner until the guard is dropped.
    pub fn begin(self: &Arc<Self>, runner: &RunnerName) -> InFlight {
        self.update(runner, RunnerLoad::begin);
        InFlight {
            board: Arc::clone(self),
            runner: runner.clone(),
        }
    }

    /// Records a runner's report of its load.
    pub fn record_report(&self, runner: &RunnerName, report: LoadReport, now: Instant) {
        self.update(runner, |load| load.record_report(report, now));
    }

    /// Records that a runner refused, failed or stayed silent.
    pub fn record_failure(&self, runner: &RunnerName, now: Instant) {
        self.update(runner, |load| load.record_failure(now));
    }

    /// Records that a runner answered a request as it should.
    pub fn record_success(&self, runner: &RunnerName) {
        self.update(runner, RunnerLoad::record_success);
    }

    /// Returns this process's own requests on a runner.
    pub fn in_flight(&self, runner: &RunnerName) -> u32 {
        self.read(runner, RunnerLoad::in_flight)
    }

    /// Returns what a decision at `now` needs to know of a runner.
    pub fn pressure(&self, runner: &RunnerName, now: Instant) -> RunnerPressure {
        self.read(runner, |load| RunnerPressure {
            requests: load.requests(now, self.report_age_max),
            suspect: load.cooling_down(now) || load.on_probation(),
        })
    }

    /// Removes idle runners that `keep` rejects.
    pub fn retain(&self, mut keep: impl FnMut(&RunnerName) -> bool) {
        for shard in &self.shards {
            lock(shard).retain(|(name, load)| load.in_flight() > 0 || keep(name));
        }
    }

    fn shard(&self, runner: &RunnerName) -> MutexGuard<'_, Shard> {
        lock(&self.shards[stable_hash(runner.as_str()) as usize % SHARDS])
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

impl Default for LoadBoard {
    fn default() -> Self {
        Self::new()
    }
}

impl InFlight {
    /// Returns the runner that the request is on.
    pub fn runner(&self) -> &RunnerName {
        &self.runner
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.board.update(&self.runner, RunnerLoad::end);
    }
}

fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
