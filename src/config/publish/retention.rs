//! How much of the history is kept.

/// Revisions whose heads are kept as the audit trail.
pub const HISTORY_MAX_REVISIONS: u64 = 256;
/// Revisions whose content is kept.
pub const SNAPSHOTS_KEPT_MAX: u64 = 8;
