//! The entry daemon.

use {
    greengagetrail::{
        entry::{self, EntrySettings, RunError},
        settings::run_daemon,
    },
    std::process::ExitCode,
};

fn main() -> ExitCode {
    run_daemon("ggt-entry", run)
}

fn run(settings: EntrySettings) -> Result<(), RunError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .map_err(RunError::runtime)?
        .block_on(entry::run(settings))
}
