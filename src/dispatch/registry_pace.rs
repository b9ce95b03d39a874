//! The pace of streams, and the speed of runners that follows from it, in the shared state.

use {
    super::{RunnerHash, RunnerRegistry, registry_shared::RegistryShared},
    crate::{
        capacity::SpeedView,
        discovery::RunnerKey,
        traffic::{ModelId, ServiceId},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::Instant,
};

/// The steps of a report by which the logarithm of slowness grows by one.
const STEPS_PER_LOG: f64 = 64.0;

/// How slow a runner is now relative to the others of its service, as one node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// The runner.
    pub runner: RunnerHash,
    /// The logarithm of the slowness in steps of 1/64; 0 is the mean.
    log_steps: i8,
}

impl SpeedReport {
    /// Returns the report of a slowness, given as a logarithm.
    pub fn new(runner: RunnerHash, log_slowness: f64) -> Self {
        let log_steps = (log_slowness * STEPS_PER_LOG).round() as i8;
        Self { runner, log_steps }
    }

    /// Returns the logarithm of the slowness.
    pub fn log_slowness(self) -> f64 {
        f64::from(self.log_steps) / STEPS_PER_LOG
    }
}

impl RunnerRegistry {
    /// Returns how slow the runners are whose streams this node read lately, of services whose
    /// runners differ.
    pub fn speed_reports(&self) -> Vec<SpeedReport> {
        let now = Instant::now();
        self.shared.with_state(|state, _| {
            let services = state.services().iter();
            let uneven = services.filter(|service| service.speed_spread.is_uneven());
            let runners = uneven.flat_map(|service| &service.runners);
            let reports = runners.filter_map(|runner| {
                let log_slowness = runner.speed.report(now)?;
                Some(SpeedReport::new(runner.hash, log_slowness))
            });
            reports.collect()
        })
    }

    /// Returns what this node learned of runners, of services whose runners differ in speed.
    pub fn speeds(&self) -> Vec<SpeedView> {
        let now = Instant::now();
        self.shared.with_state(|state, _| {
            let services = state.services().iter();
            let uneven = services.filter(|service| service.speed_spread.is_uneven());
            let runners = uneven.flat_map(|service| &service.runners);
            let speeds = runners.map(|runner| SpeedView {
                runner: runner.entry.key.id.to_string(),
                slowness: runner.speed.slowness(now),
                samples: runner.speed.samples(),
                age_s: runner.speed.age_s(now),
            });
            speeds.collect()
        })
    }

    /// Applies what a peer observed lately.
    pub fn apply_speed_reports(&self, reports: &[SpeedReport]) {
        let now = Instant::now();
        let mut sorted = reports.to_vec();
        sorted.sort_unstable_by_key(|report| report.runner);
        self.shared.with_state(|state, _| {
            for service in state.services() {
                let mut is_any = false;
                for runner in &mut service.runners {
                    let found = sorted.binary_search_by_key(&runner.hash, |report| report.runner);
                    if let Ok(position) = found {
                        let log_slowness = sorted[position].log_slowness();
                        runner.speed.record_report(log_slowness, now);
                        is_any = true;
                    }
                }
                if is_any {
                    service.compare_speeds(now);
                }
            }
        });
    }
}

impl RegistryShared {
    /// Records the usual gap between the events of a stream.
    pub(super) fn record_pace(
        &self,
        service: &ServiceId,
        runner: &RunnerKey,
        model: &ModelId,
        usual_gap: Duration,
        now: Instant,
    ) {
        let is_uneven = self.with_state(|state, _| {
            let service = state.service(service);
            let changed = service.record_pace(runner, model, usual_gap, now);
            changed.then(|| service.speed_spread.is_uneven())
        });
        match is_uneven {
            Some(true) => log::info!(service:% = service; "dispatch: runners differ in speed."),
            Some(false) => log::info!(service:% = service; "dispatch: runners are equally fast."),
            None => {}
        }
    }
}
