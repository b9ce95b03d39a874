//! A process that an experiment started; a guard ends it.

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
    /// Starts a program on a settings file; its output is added to a log.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be opened or the program can't be started.
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

    /// Stops the process until it is thawed.
    pub(super) fn freeze(&mut self) -> std::io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a stopped process go on.
    pub(super) fn thaw(&mut self) -> std::io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Returns whether the process has not ended.
    pub(super) fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }

    /// Asks for a planned stop.
    pub(super) fn terminate(&mut self) {
        let _ = self.thaw();
        let _ = self.signal(Signal::TERM);
    }

    /// Kills the process and waits for its end.
    pub(super) async fn end(mut self) {
        let _ = self.0.kill();
        while self.is_running() {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits for the end until a deadline; returns whether it came and was a success.
    pub(super) async fn wait_until(&mut self, deadline: Instant) -> bool {
        loop {
            match self.0.try_wait() {
                Ok(Some(status)) => return status.success(),
                Ok(None) if Instant::now() < deadline => sleep(POLL_INTERVAL).await,
                _ => return false,
            }
        }
    }

    /// Sends a signal unless the process has ended, so that its id is still its own.
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
