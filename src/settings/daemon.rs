//! The start of a daemon, from its command line to its exit code.

use {
    super::{Invocation, Settings, SettingsError, load_settings},
    std::{fmt::Display, io, process::ExitCode},
    tokio::runtime::{Builder, Runtime},
};

/// The exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;

/// Reads the settings of a daemon and runs it.
///
/// The exit code is 0 after a planned stop, 1 after a failure, and 2 for a wrong command line or
/// wrong settings.
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
            println!("{program}: the settings are right");
            ExitCode::SUCCESS
        }
        Ok(Invocation::Help(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => report(program, &error),
    }
}

/// Makes the runtime of a daemon with some worker threads.
///
/// # Errors
///
/// Fails when a thread cannot be started.
pub fn build_runtime(threads: usize) -> io::Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(threads).enable_all().build()
}

fn report(program: &str, error: &SettingsError) -> ExitCode {
    eprintln!("{program}: {error}");
    eprintln!("Try '{program} --help'.");
    ExitCode::from(EXIT_USAGE)
}
