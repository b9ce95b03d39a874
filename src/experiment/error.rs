//! Errors of an experiment.

use {crate::settings::SettingsError, std::path::PathBuf, thiserror::Error};

/// Why an experiment or one of its trials did not go through.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The command line or the file is wrong; nothing was started.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A file or directory cannot be written or read.
    #[error("{path}: {cause}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// A process cannot be started.
    #[error("cannot start {program}: {cause}")]
    Start {
        /// The program.
        program: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// No free ports were found.
    #[error("no {needed} free ports were found")]
    Ports {
        /// How many were needed.
        needed: usize,
    },
    /// Something did not happen in time.
    #[error("{operation} took longer than {timeout_s} s; the logs are in {logs}")]
    Timeout {
        /// What.
        operation: String,
        /// The longest wait, in seconds.
        timeout_s: u64,
        /// The directory of the logs.
        logs: PathBuf,
    },
    /// The configuration was not published.
    #[error("the configuration was not published: {reason}")]
    Publish {
        /// What the operators' program said.
        reason: String,
    },
    /// A disruption could not be carried out.
    #[error("{target}: {reason}")]
    Disruption {
        /// The process.
        target: String,
        /// Why.
        reason: String,
    },
    /// Something happened that should not have.
    #[error("{0}")]
    TrialFaults(String),
    /// A signal asked for an early end.
    #[error("stopped by a signal")]
    Stopped,
}

impl ExperimentError {
    /// Returns what makes the error of a file.
    pub(super) fn file(path: &std::path::Path) -> impl FnOnce(std::io::Error) -> Self {
        let path = path.to_owned();
        move |cause| Self::File { path, cause }
    }
}
