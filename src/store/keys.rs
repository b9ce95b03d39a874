//! The keys that this system uses in the key-value service.

use crate::{
    config::Digest,
    units::{Revision, RunnerName, VmName},
};

/// The prefix that every keeper watches: the head, the members and the runner records.
pub const LIVE_PREFIX: &str = "/ggt/live/";
/// The head: the newest published revision.
pub const HEAD_KEY: &str = "/ggt/live/head";
/// The live members, bound to their leases.
pub const MEMBERS_PREFIX: &str = "/ggt/live/members/";
/// The members that are in a planned stop, bound to their leases.
pub const LEAVING_PREFIX: &str = "/ggt/live/leaving/";
/// The runner records.
pub const RUNNERS_PREFIX: &str = "/ggt/live/runners/";
/// The chain of published revisions.
pub const CHAIN_PREFIX: &str = "/ggt/chain/";
/// The parts of snapshots, by digest.
pub const BLOB_PREFIX: &str = "/ggt/blob/";
/// Written by each garbage collection of blobs, so that publishers detect a concurrent one.
pub const COLLECTION_KEY: &str = "/ggt/collection";
/// Claimed idempotency keys.
pub const CLAIMS_PREFIX: &str = "/ggt/claims/";
/// The permits for concurrent model loads.
pub const LOAD_SLOTS_PREFIX: &str = "/ggt/permits/load/";
/// The earliest time at which the next model load may start.
pub const LOAD_START_KEY: &str = "/ggt/permits/start";
/// The audit trail of orders.
pub const AUDIT_PREFIX: &str = "/ggt/audit/";

/// Returns the key of a member.
pub fn member_key(vm: &VmName) -> String {
    format!("{MEMBERS_PREFIX}{vm}")
}

/// Returns the key that marks a member as being in a planned stop.
pub fn leaving_key(vm: &VmName) -> String {
    format!("{LEAVING_PREFIX}{vm}")
}

/// Returns the key of a runner record.
pub fn runner_key(runner: &RunnerName) -> String {
    format!("{RUNNERS_PREFIX}{runner}")
}

/// Returns the key of a revision in the chain.
pub fn chain_key(revision: Revision) -> String {
    format!("{CHAIN_PREFIX}{:020}", revision.0)
}

/// Returns the key of a part of a snapshot.
pub fn blob_key(digest: Digest) -> String {
    format!("{BLOB_PREFIX}{digest}")
}
