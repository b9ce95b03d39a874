//! The `ggt` command-line program for operators.

mod args;
mod error;
mod help;
mod node_client;
mod node_text;
mod operator_client;
mod output;
mod run;
mod run_local;
mod run_node;
mod run_publish;
mod run_read;

pub use {args::*, error::*, help::*, node_client::*, operator_client::*, output::*, run::*};
