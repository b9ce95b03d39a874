//! Errors of experiments.

use {crate::settings::SettingsError, std::path::PathBuf, thiserror::Error};

/// Why an experiment failed.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The command line or the experiment file is invalid; nothing was started.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A file or directory cannot be read or written.
    #[error("{path}: {cause}")]
    File {
        /// The path of the file or directory.
        path: PathBuf,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// A process cannot be started.
    #[error("cannot start {program}: {cause}")]
    Start {
        /// The path of the program.
        program: PathBuf,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// Too few free ports were found.
    #[error("no {needed} free ports were found")]
    Ports {
        /// The number of ports needed.
        needed: usize,
    },
    /// An operation timed out.
    #[error("{operation} took longer than {timeout_s} s; the logs are in {logs}")]
    Timeout {
        /// The operation that timed out.
        operation: String,
        /// The timeout, in seconds.
        timeout_s: u64,
        /// The directory with the logs of the processes.
        logs: PathBuf,
    },
    /// The configuration was not published.
    #[error("the configuration was not published: {reason}")]
    Publish {
        /// The error output of `ggt publish`.
        reason: String,
    },
    /// A disruption could not be carried out.
    #[error("{target}: {reason}")]
    Disruption {
        /// The name of the process.
        target: String,
        /// Why the disruption failed.
        reason: String,
    },
    /// At least one trial had faults, such as an invalid response or a process that exited.
    #[error("{0}")]
    TrialFaults(String),
    /// A signal interrupted the experiment.
    #[error("stopped by a signal")]
    Stopped,
}

impl ExperimentError {
    /// Returns a function that converts an I/O error of a path, for use with `map_err`.
    pub(super) fn file(path: &std::path::Path) -> impl FnOnce(std::io::Error) -> Self {
        let path = path.to_owned();
        move |cause| Self::File { path, cause }
    }
}
