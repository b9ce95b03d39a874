//! The command line of `ggt-load experiment`.

use {
    super::{ExperimentError, run_experiment},
    crate::settings::{SettingsError, markdown_table},
    lexopt::prelude::*,
    std::{ffi::OsString, path::PathBuf, process::ExitCode},
};

/// Where the report goes unless told otherwise.
const REPORT_DEFAULT: &str = "experiment-report";
/// The exit code for a wrong command line or file.
const EXIT_USAGE: u8 = 2;

/// The arguments of `ggt-load experiment`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExperimentArgs {
    /// The file.
    pub file: PathBuf,
    /// The directory of the report.
    pub report: PathBuf,
    /// Whether the file is only checked.
    pub check_only: bool,
}

impl ExperimentArgs {
    /// Reads the arguments after `experiment`; `None` asks for help.
    ///
    /// # Errors
    ///
    /// Fails on anything unknown, missing or left over.
    pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Option<Self>, SettingsError> {
        let usage = |cause: lexopt::Error| SettingsError::Usage(cause.to_string());
        let mut parser = lexopt::Parser::from_args(args);
        let mut file = None;
        let mut report = PathBuf::from(REPORT_DEFAULT);
        let mut check_only = false;
        while let Some(arg) = parser.next().map_err(usage)? {
            match arg {
                Long("help") | Short('h') => return Ok(None),
                Long("check") => check_only = true,
                Long("report") => report = parser.value().map_err(usage)?.into(),
                Value(path) if file.is_none() => file = Some(PathBuf::from(path)),
                other => return Err(usage(other.unexpected())),
            }
        }
        let file = file.ok_or_else(|| SettingsError::Usage("no file is named".to_owned()))?;
        Ok(Some(Self {
            file,
            report,
            check_only,
        }))
    }
}

/// Runs `ggt-load experiment` with the arguments after it.
///
/// The exit code is 0 when all trials went through, 1 when one did not, and 2 when the command
/// line or the file is wrong, before anything is started.
pub fn experiment_main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let result = match ExperimentArgs::parse(args) {
        Ok(Some(args)) => run_experiment(&args),
        Ok(None) => {
            print!("{}", help());
            Ok(())
        }
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ggt-load: {error}");
            match error {
                ExperimentError::Settings(_) => ExitCode::from(EXIT_USAGE),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn help() -> String {
    format!(
        "Usage: ggt-load experiment FILE [--report DIR] [--check]\n\n\
         Plays one schedule of load and disruptions over several settings and seeds and writes\n\
         report.json and report.html. Fields of the file:\n\n{}",
        markdown_table::<super::ExperimentSettings>()
    )
}
