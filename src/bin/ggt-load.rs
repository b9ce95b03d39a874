//! Open-loop load, comparison, saturation and experiments, with their reports.

use {
    greengagetrail::{experiment::experiment_main, load},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let mut args = std::env::args_os().skip(1);
    match args.next() {
        Some(command) if command == "experiment" => experiment_main(args),
        _ => greengagetrail::settings::run_daemon("ggt-load", load::run),
    }
}
