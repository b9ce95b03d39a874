//! The workspaces whose callers the system serves: their access keys, priorities and quotas.

mod access_key;
mod directory;
mod priority_ranks;
mod quota;
mod workspace;

pub use {access_key::*, directory::*, priority_ranks::*, quota::*, workspace::*};
