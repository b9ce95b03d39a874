//! The entry daemon.

use {
    greengagetrail::{
        entry::{self, EntrySettings, RunError},
        settings::{run_daemon, worker_runtime},
    },
    std::process::ExitCode,
};

fn main() -> ExitCode {
    run_daemon("ggt-entry", run)
}

fn run(settings: EntrySettings) -> Result<(), RunError> {
    worker_runtime(settings.threads)
        .map_err(RunError::runtime)?
        .block_on(entry::run(settings))
}
