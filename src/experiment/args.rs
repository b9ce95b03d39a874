//! Command line of `ggt-load experiment`.

use {
    super::{ExperimentError, run_experiment},
    crate::settings::{SettingsError, markdown_table},
    lexopt::prelude::*,
    std::{ffi::OsString, path::PathBuf, process::ExitCode},
};

/// Directory of the report without `--report`.
const REPORT_DEFAULT: &str = "experiment-report";
/// Exit code for an invalid command line or experiment file.
const EXIT_USAGE: u8 = 2;

/// The arguments of `ggt-load experiment`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExperimentArgs {
    /// The path of the experiment file.
    pub file: PathBuf,
    /// The directory that receives the report.
    pub report: PathBuf,
    /// Whether the file is only checked and nothing is run.
    pub check_only: bool,
}

impl ExperimentArgs {
    /// Parses the arguments after `experiment`; returns `None` if help is requested.
    ///
    /// # Errors
    ///
    /// Fails if an argument is unknown, missing or superfluous.
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
/// The exit code is 0 if all trials completed without faults, 1 if one did not, and 2 if the command
/// line or the file is invalid; nothing is started then.
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
