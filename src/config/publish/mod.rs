//! Publishes a checked configuration to the key-value service.

mod archive;
mod base;
mod blob_writer;
mod collector;
mod outcome;
mod publisher;
mod resolve;

pub use {archive::*, collector::*, outcome::*, publisher::*};

/// Revisions whose heads are kept as the audit trail.
pub const HISTORY_MAX: u64 = 256;
/// Revisions whose content is kept.
pub const SNAPSHOTS_KEPT_MAX: u64 = 8;
