//! Starts a daemon: reads the command line and settings, and returns the exit code.

use {
    super::{Invocation, Settings, SettingsError, load_settings},
    std::{fmt::Display, io, process::ExitCode},
    tokio::runtime::{Builder, Runtime},
};

/// The exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;

/// Reads the settings of a daemon and runs it.
///
/// The exit code is 0 after a planned stop, 1 after a failure, and 2 for an invalid command line or
/// invalid settings.
pub fn run_daemon<S: Settings, E: Display>(
    program: &str,
    run: impl FnOnce(S) -> Result<(), E>,
) -> ExitCode {
    let args = std::env::args_os().skip(1);
    match load_settings::<S>(program, args) {
        Ok(Invocation::Run(settings)) => match run(settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{program}: {error}");
                ExitCode::FAILURE
            }
        },
        Ok(Invocation::CheckOnly) => {
            println!("{program}: the settings are valid");
            ExitCode::SUCCESS
        }
        Ok(Invocation::Help(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => report_settings_error(program, &error),
    }
}

/// Builds the multi-threaded runtime of a daemon with a number of worker threads.
///
/// # Errors
///
/// Fails when a thread cannot be started.
pub fn build_runtime(threads: usize) -> io::Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(threads).enable_all().build()
}

/// Prints a settings error and returns the exit code.
fn report_settings_error(program: &str, error: &SettingsError) -> ExitCode {
    eprintln!("{program}: {error}");
    eprintln!("Try '{program} --help'.");
    ExitCode::from(EXIT_USAGE)
}
