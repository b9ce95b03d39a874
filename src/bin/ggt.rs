//! The operators' program.

use std::{env, io, process::ExitCode};

fn main() -> ExitCode {
    let args = env::args_os().skip(1);
    let code = greengagetrail::cli::run(args, &mut io::stdout(), &mut io::stderr());
    ExitCode::from(code)
}
