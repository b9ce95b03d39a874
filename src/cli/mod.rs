//! The operators' command line.

mod args;
mod error;
mod help;
mod operator_client;
mod output;
mod run;
mod run_local;
mod run_publish;
mod run_read;

pub use {args::*, error::*, help::*, operator_client::*, output::*, run::*};
