//! How much of a machine's memory the bodies of requests and responses may use.

/// The memory of a machine whose settings name none, in MB.
pub const DEFAULT_MEMORY_MB: u64 = 128;

/// The least memory for all bodies, so that a body of the usual limit fits while it grows.
const TOTAL_MIN_BYTES: usize = 12 << 20;

/// The part of the machine's memory for all bodies.
const TOTAL_DIVISOR: u64 = 4;

/// The part of the memory for all bodies that only responses may use, so that requests that run
/// are answered.
const RESPONSES_DIVISOR: usize = 4;

/// The memory that an open connection may use beside the bodies: its buffers, its head, its task
/// and the first bytes of a body.
const CONNECTION_BYTES: u64 = 32 * 1024;

/// The part of the machine's memory for connections.
const CONNECTIONS_DIVISOR: u64 = 3;

/// The least number of connections of callers, whatever the machine's memory and descriptors.
const CONNECTIONS_MIN: usize = 16;

/// The limits of the bodies of all requests and responses of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// The most bytes that requests and responses hold together.
    pub total_bytes: usize,
    /// The most bytes that requests may bring the sum to.
    pub requests_bytes: usize,
}

impl MemoryLimits {
    /// Returns the limits on a machine with this much memory.
    pub fn of_machine(memory_mb: u64) -> Self {
        let share_bytes = memory_mb.saturating_mul(1 << 20) / TOTAL_DIVISOR;
        let share_bytes = usize::try_from(share_bytes).unwrap_or(usize::MAX);
        Self::of_bodies(share_bytes.max(TOTAL_MIN_BYTES))
    }

    /// Returns the limits when all bodies may use `total_bytes`.
    pub fn of_bodies(total_bytes: usize) -> Self {
        Self {
            total_bytes,
            requests_bytes: total_bytes - total_bytes / RESPONSES_DIVISOR,
        }
    }
}

impl Default for MemoryLimits {
    fn default() -> Self {
        Self::of_machine(DEFAULT_MEMORY_MB)
    }
}

/// Returns the most connections that callers may have open.
///
/// Three in eight descriptors are left for as many connections to runners, and a quarter for peers,
/// the store and files.
pub fn callers_connections_max(memory_mb: u64, descriptors_max: usize) -> usize {
    let by_memory = memory_mb.saturating_mul(1 << 20) / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
    let by_memory = usize::try_from(by_memory).unwrap_or(usize::MAX);
    by_memory.min(descriptors_max / 8 * 3).max(CONNECTIONS_MIN)
}
