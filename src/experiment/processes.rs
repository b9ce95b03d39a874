//! The running processes of a trial.

use {
    super::{
        Change, ExperimentError, Stage,
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

/// The longest wait until a process that was started answers, in seconds.
const START_MAX_S: u64 = 20;
/// The longest wait for planned stops, in seconds.
const STOP_MAX_S: u64 = 20;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Where the programs of a trial are.
#[derive(Debug, Clone)]
pub(super) struct Programs {
    /// The directory of the stand-ins.
    pub(super) stand_ins: PathBuf,
    /// The directory of the system's own programs.
    pub(super) own: PathBuf,
}

#[derive(Debug)]
struct Running {
    spec: ProcessSpec,
    child: Option<ChildProcess>,
    starts: u64,
}

/// The processes of a trial; dropping them ends all that run.
#[derive(Debug)]
pub(super) struct Processes {
    running: Vec<Running>,
    programs: Programs,
    directory: PathBuf,
    client: LoadClient,
}

impl Processes {
    /// Starts processes in their order; settings and logs go to a directory.
    ///
    /// # Errors
    ///
    /// Fails when one cannot be started or does not answer in time.
    pub(super) async fn start(
        specs: Vec<ProcessSpec>,
        programs: Programs,
        directory: &Path,
    ) -> Result<Self, ExperimentError> {
        let new = |spec| Running {
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
            let part = |running: &Running| running.spec.kind.is_stand_in() == stand_ins;
            let indices: Vec<usize> = (0..processes.running.len())
                .filter(|index| part(&processes.running[*index]))
                .collect();
            for index in &indices {
                processes.start_one(*index)?;
            }
            for index in indices {
                processes.wait_ready(index).await?;
            }
        }
        Ok(processes)
    }

    /// Returns the processes that ended by themselves.
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

    /// Stops all: the system's own as planned; returns those that did not stop well.
    pub(super) async fn stop(mut self) -> Vec<String> {
        let deadline = Instant::now() + Duration::from_secs(STOP_MAX_S);
        let mut wrong = Vec::new();
        for kind in [ProcessKind::Entry, ProcessKind::Keeper] {
            let is_kind = |running: &&mut Running| running.spec.kind == kind;
            for running in self.running.iter_mut().filter(is_kind) {
                if let Some(child) = &mut running.child {
                    child.terminate();
                }
            }
            for running in self.running.iter_mut().filter(is_kind) {
                if let Some(mut child) = running.child.take()
                    && !child.wait_until(deadline).await
                {
                    wrong.push(running.spec.name.clone());
                }
            }
        }
        wrong
    }

    fn start_one(&mut self, index: usize) -> Result<(), ExperimentError> {
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
            false => &self.programs.own,
        };
        let program = programs.join(spec.kind.program());
        running.child = Some(ChildProcess::start(&program, &settings, &log)?);
        Ok(())
    }

    async fn end_one(&mut self, index: usize) {
        if let Some(child) = self.running[index].child.take() {
            child.end().await;
        }
    }

    async fn wait_ready(&mut self, index: usize) -> Result<(), ExperimentError> {
        let deadline = Instant::now() + Duration::from_secs(START_MAX_S);
        let spec = &self.running[index].spec;
        let path = match spec.kind.is_stand_in() {
            true => "/record",
            false => "/healthz",
        };
        while get(&self.client, spec.control, path).await.is_none() {
            if Instant::now() > deadline {
                return Err(ExperimentError::Late {
                    what: format!("the start of {}", spec.name),
                    longest_s: START_MAX_S,
                    logs: self.directory.clone(),
                });
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn change(&mut self, target: &str, change: Change) -> Result<(), ExperimentError> {
        let fail = |reason: &str| ExperimentError::Disruption {
            target: target.to_owned(),
            reason: reason.to_owned(),
        };
        let named = |running: &Running| running.spec.name == target;
        let index = self.running.iter().position(named);
        let index = index.ok_or_else(|| fail("is not known"))?;
        match change {
            Change::Kill => self.end_one(index).await,
            Change::Start if self.running[index].child.is_some() => {}
            Change::Start | Change::Restart => {
                self.end_one(index).await;
                self.start_one(index)?;
            }
            Change::Freeze | Change::Thaw => {
                // A process that was killed in the meantime needs neither.
                if let Some(child) = &mut self.running[index].child {
                    let done = match change {
                        Change::Freeze => child.freeze(),
                        _ => child.thaw(),
                    };
                    done.map_err(|cause| fail(&cause.to_string()))?;
                }
            }
            Change::Cut | Change::SlowByPercent(_) | Change::SlowByMs(_) | Change::Mend => {
                let running = &self.running[index];
                let faults = switches(change);
                let control = running.spec.control;
                let set = call(&self.client, Method::POST, control, "/faults", faults).await;
                if set.is_none() && running.child.is_some() {
                    return Err(fail("its control does not answer"));
                }
            }
        }
        Ok(())
    }
}

impl Stage for Processes {
    fn apply<'a>(
        &'a mut self,
        target: &'a str,
        change: Change,
    ) -> BoxFuture<'a, Result<(), ExperimentError>> {
        self.change(target, change).boxed()
    }
}

/// Returns the fault switches of a stand-in.
fn switches(change: Change) -> String {
    let faults = match change {
        Change::Cut => json!({"down": true}),
        Change::SlowByPercent(percent) => json!({"slow_percent": percent}),
        Change::SlowByMs(time_ms) => json!({"slow_ms": time_ms}),
        _ => json!({}),
    };
    faults.to_string()
}
