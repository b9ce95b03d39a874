//! Running processes of a trial.

use {
    super::{
        DisruptionTarget, ExperimentError, ProcessChange,
        child::ChildProcess,
        http_call::{call, get},
        process_spec::{ProcessKind, ProcessSpec},
    },
    crate::load::{LoadClient, new_client},
    futures::future::{BoxFuture, FutureExt},
    hyper::Method,
    serde_json::json,
    std::{
        fs,
        path::{Path, PathBuf},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Time within which a started process must respond, in seconds.
const START_TIMEOUT_S: u64 = 20;
/// Time within which all planned stops must be complete, in seconds.
const STOP_TIMEOUT_S: u64 = 20;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Directories of the programs of a trial.
#[derive(Debug, Clone)]
pub(super) struct Programs {
    /// The directory of the stand-in program.
    pub(super) stand_ins: PathBuf,
    /// The directory of the programs of the system under test.
    pub(super) system: PathBuf,
}

#[derive(Debug)]
struct ManagedProcess {
    spec: ProcessSpec,
    child: Option<ChildProcess>,
    starts: u64,
}

/// The processes of a trial; dropping them kills those that still run.
#[derive(Debug)]
pub(super) struct Processes {
    running: Vec<ManagedProcess>,
    programs: Programs,
    directory: PathBuf,
    client: LoadClient,
}

impl Processes {
    /// Starts all processes, first the stand-ins, then the system, and waits until they respond.
    ///
    /// Settings files and logs are written to `directory`.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or does not respond in time.
    pub(super) async fn start(
        specs: Vec<ProcessSpec>,
        programs: Programs,
        directory: &Path,
    ) -> Result<Self, ExperimentError> {
        let new = |spec| ManagedProcess {
            spec,
            child: None,
            starts: 0,
        };
        let mut processes = Self {
            running: specs.into_iter().map(new).collect(),
            programs,
            directory: directory.to_owned(),
            client: new_client(),
        };
        for stand_ins in [true, false] {
            let in_phase = |running: &ManagedProcess| running.spec.kind.is_stand_in() == stand_ins;
            let indices: Vec<usize> = (0..processes.running.len())
                .filter(|index| in_phase(&processes.running[*index]))
                .collect();
            for index in &indices {
                processes.start_process(*index)?;
            }
            for index in indices {
                processes.wait_ready(index).await?;
            }
        }
        Ok(processes)
    }

    /// Returns the names of processes that exited without being stopped.
    pub(super) fn find_ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for running in &mut self.running {
            if running
                .child
                .as_mut()
                .is_some_and(|child| !child.is_running())
            {
                ended.push(running.spec.name.clone());
            }
        }
        ended
    }

    /// Stops all processes: entries and keepers by a planned stop, stand-ins by killing them.
    ///
    /// Returns the names of processes whose planned stop failed or took too long.
    pub(super) async fn stop(mut self) -> Vec<String> {
        let deadline = Instant::now() + Duration::from_secs(STOP_TIMEOUT_S);
        let mut failed = Vec::new();
        for kind in [ProcessKind::Entry, ProcessKind::Keeper] {
            let is_kind = |running: &&mut ManagedProcess| running.spec.kind == kind;
            for running in self.running.iter_mut().filter(is_kind) {
                if let Some(child) = &mut running.child {
                    child.terminate();
                }
            }
            for running in self.running.iter_mut().filter(is_kind) {
                if let Some(mut child) = running.child.take()
                    && !child.wait_until(deadline).await
                {
                    failed.push(running.spec.name.clone());
                }
            }
        }
        failed
    }

    fn start_process(&mut self, index: usize) -> Result<(), ExperimentError> {
        let running = &mut self.running[index];
        running.starts += 1;
        let spec = &mut running.spec;
        if spec.kind == ProcessKind::Runner {
            spec.settings["stand_ins"][0]["engine"]["incarnation"] = json!(running.starts);
        }
        let settings = self.directory.join(format!("{}.json", spec.name));
        fs::write(&settings, spec.settings.to_string())
            .map_err(ExperimentError::file(&settings))?;
        let log = self.directory.join(format!("{}.log", spec.name));
        let programs = match spec.kind.is_stand_in() {
            true => &self.programs.stand_ins,
            false => &self.programs.system,
        };
        let program = programs.join(spec.kind.program());
        running.child = Some(ChildProcess::start(&program, &settings, &log)?);
        Ok(())
    }

    async fn end_process(&mut self, index: usize) {
        if let Some(child) = self.running[index].child.take() {
            child.end().await;
        }
    }

    async fn wait_ready(&mut self, index: usize) -> Result<(), ExperimentError> {
        let deadline = Instant::now() + Duration::from_secs(START_TIMEOUT_S);
        let spec = &self.running[index].spec;
        let path = match spec.kind.is_stand_in() {
            true => "/record",
            false => "/healthz",
        };
        while get(&self.client, spec.control, path).await.is_none() {
            if Instant::now() > deadline {
                return Err(ExperimentError::Timeout {
                    operation: format!("the start of {}", spec.name),
                    timeout_s: START_TIMEOUT_S,
                    logs: self.directory.clone(),
                });
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn apply_change(
        &mut self,
        target: &str,
        change: ProcessChange,
    ) -> Result<(), ExperimentError> {
        let disruption_error = |reason: &str| ExperimentError::Disruption {
            target: target.to_owned(),
            reason: reason.to_owned(),
        };
        let named = |running: &ManagedProcess| running.spec.name == target;
        let index = self.running.iter().position(named);
        let index = index.ok_or_else(|| disruption_error("is not known"))?;
        match change {
            ProcessChange::Kill => self.end_process(index).await,
            ProcessChange::Start if self.running[index].child.is_some() => {}
            ProcessChange::Start | ProcessChange::Restart => {
                self.end_process(index).await;
                self.start_process(index)?;
            }
            ProcessChange::Freeze | ProcessChange::Thaw => {
                // A process that was killed in the meantime can be neither suspended nor resumed.
                if let Some(child) = &mut self.running[index].child {
                    let done = match change {
                        ProcessChange::Freeze => child.freeze(),
                        _ => child.thaw(),
                    };
                    done.map_err(|cause| disruption_error(&cause.to_string()))?;
                }
            }
            ProcessChange::Cut
            | ProcessChange::SlowByPercent(_)
            | ProcessChange::SlowByMs(_)
            | ProcessChange::Mend => {
                let running = &self.running[index];
                let faults = fault_switches(change);
                let control = running.spec.control;
                let set = call(&self.client, Method::POST, control, "/faults", faults).await;
                if set.is_none() && running.child.is_some() {
                    return Err(disruption_error("its control does not answer"));
                }
            }
        }
        Ok(())
    }
}

impl DisruptionTarget for Processes {
    fn apply<'a>(
        &'a mut self,
        target: &'a str,
        change: ProcessChange,
    ) -> BoxFuture<'a, Result<(), ExperimentError>> {
        self.apply_change(target, change).boxed()
    }
}

/// Returns the fault switches of a stand-in for a change, as JSON.
fn fault_switches(change: ProcessChange) -> String {
    let faults = match change {
        ProcessChange::Cut => json!({"down": true}),
        ProcessChange::SlowByPercent(percent) => json!({"slow_percent": percent}),
        ProcessChange::SlowByMs(time_ms) => json!({"slow_ms": time_ms}),
        _ => json!({}),
    };
    faults.to_string()
}
