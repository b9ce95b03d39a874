//! Stand-ins of the platform and the backend servers, for tests and the demo.

use {greengagetrail::standin, std::process::ExitCode};

fn main() -> ExitCode {
    greengagetrail::settings::run_daemon("ggt-standin", standin::run)
}
