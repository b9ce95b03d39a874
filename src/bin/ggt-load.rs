//! Open-loop load, comparison and saturation, with their reports.

use {greengagetrail::load, std::process::ExitCode};

fn main() -> ExitCode {
    greengagetrail::settings::run_daemon("ggt-load", load::run)
}
