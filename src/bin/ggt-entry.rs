//! The entry daemon.

use {
    greengagetrail::{
        entry::{self, EntrySettings, RunError},
        settings::{build_runtime, run_daemon},
    },
    std::process::ExitCode,
};

fn main() -> ExitCode {
    run_daemon("ggt-entry", run)
}

fn run(settings: EntrySettings) -> Result<(), RunError> {
    build_runtime(settings.threads)
        .map_err(RunError::runtime)?
        .block_on(entry::run(settings))
}
