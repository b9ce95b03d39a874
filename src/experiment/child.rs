//! Child process of an experiment, killed and reaped on drop.

use {
    super::ExperimentError,
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::OpenOptions,
        path::Path,
        process::{Child, Command, Stdio},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running process; dropping it kills and reaps it.
#[derive(Debug)]
pub(super) struct ChildProcess(Child);

impl ChildProcess {
    /// Starts a program with a settings file and appends its output to a log.
    ///
    /// # Errors
    ///
    /// Fails if the log can't be opened or the program can't be started.
    pub(super) fn start(
        program: &Path,
        settings: &Path,
        log: &Path,
    ) -> Result<Self, ExperimentError> {
        let file = OpenOptions::new().create(true).append(true).open(log);
        let file = file.map_err(ExperimentError::file(log))?;
        let copy = file.try_clone().map_err(ExperimentError::file(log))?;
        let mut command = Command::new(program);
        command.arg("--settings").arg(settings);
        command.stdin(Stdio::null()).stdout(copy).stderr(file);
        let child = command.spawn().map_err(|cause| ExperimentError::Start {
            program: program.to_owned(),
            cause,
        })?;
        Ok(Self(child))
    }

    /// Suspends the process with SIGSTOP.
    pub(super) fn freeze(&mut self) -> std::io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a suspended process.
    pub(super) fn thaw(&mut self) -> std::io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Returns whether the process is still running.
    pub(super) fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }

    /// Requests a planned stop with SIGTERM, resuming the process if it is suspended.
    pub(super) fn terminate(&mut self) {
        let _ = self.thaw();
        let _ = self.signal(Signal::TERM);
    }

    /// Kills the process and waits until it has exited.
    pub(super) async fn end(mut self) {
        let _ = self.0.kill();
        while self.is_running() {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the process exits or the deadline passes; returns whether it exited successfully
    /// in time.
    pub(super) async fn wait_until(&mut self, deadline: Instant) -> bool {
        loop {
            match self.0.try_wait() {
                Ok(Some(status)) => return status.success(),
                Ok(None) if Instant::now() < deadline => sleep(POLL_INTERVAL).await,
                _ => return false,
            }
        }
    }

    /// Sends a signal unless the process has exited, as its id may then belong to another process.
    fn signal(&mut self, signal: Signal) -> std::io::Result<()> {
        if !self.is_running() {
            return Err(std::io::ErrorKind::NotFound.into());
        }
        let id = i32::try_from(self.0.id()).ok().and_then(Pid::from_raw);
        let id = id.ok_or(std::io::ErrorKind::NotFound)?;
        Ok(kill_process(id, signal)?)
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
