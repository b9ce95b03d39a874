//! Errors of the settings.

use {
    std::{fmt, path::PathBuf},
    thiserror::Error,
};

/// One thing that is wrong with the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// The field, or empty for the file as a whole.
    pub field: String,
    /// What is wrong and what is expected.
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
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// The file cannot be read.
    #[error("cannot read {path}: {cause}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// The file is no JSON object.
    #[error("{path} is not a JSON object: {cause}")]
    NotJson {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: String,
    },
    /// Fields are missing, unknown or wrong; all of them are listed.
    #[error("{} settings are wrong:{}", .0.len(), list(.0))]
    Faults(Vec<SettingsFault>),
}

fn list(faults: &[SettingsFault]) -> String {
    faults.iter().map(|fault| format!("\n  {fault}")).collect()
}
