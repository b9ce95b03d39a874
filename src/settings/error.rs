//! Errors in the settings of a process.

use {
    std::{fmt, path::PathBuf},
    thiserror::Error,
};

/// One fault of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// The field; empty for the whole file.
    pub field: String,
    /// The problem, and the values that are accepted.
    pub problem: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

/// Why a process cannot start from its settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// The settings file cannot be read.
    #[error("cannot read {path}: {cause}")]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        cause: std::io::Error,
    },
    /// The settings file is not a JSON object.
    #[error("{path} is not a JSON object: {cause}")]
    NotJson {
        /// The path of the file.
        path: PathBuf,
        /// The error of the JSON parser.
        cause: String,
    },
    /// Fields are missing, unknown or invalid; all of them are listed.
    #[error("{} settings are invalid:{}", .0.len(), list_faults(.0))]
    Faults(Vec<SettingsFault>),
}

/// Returns one indented line for each fault.
fn list_faults(faults: &[SettingsFault]) -> String {
    faults.iter().map(|fault| format!("\n  {fault}")).collect()
}
