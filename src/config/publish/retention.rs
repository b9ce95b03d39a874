//! How many published revisions are retained.

/// The number of revisions whose heads are retained as the audit trail.
pub const HISTORY_MAX_REVISIONS: u64 = 256;
/// The number of revisions whose blobs are retained.
pub const SNAPSHOTS_KEPT_MAX: u64 = 8;
