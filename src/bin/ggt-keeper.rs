//! The keeper daemon.

use {
    greengagetrail::{keeper, settings::run_daemon},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    run_daemon("ggt-keeper", keeper::run)
}
