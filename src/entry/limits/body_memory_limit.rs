//! Limits the memory for the bodies of open requests.

use {
    hyper::body::{Body, Incoming},
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// The memory that one semaphore permit stands for, in bytes.
const PERMIT_BYTES: u64 = 1024;

/// Limit of the memory for the bodies of open requests.
#[derive(Debug)]
pub struct BodyMemoryLimit {
    permits: Arc<Semaphore>,
}

/// Memory reserved for one body; it is released on drop.
#[derive(Debug)]
pub struct ReservedBodyMemory {
    _permits: OwnedSemaphorePermit,
}

impl BodyMemoryLimit {
    /// Creates a limit of `max_bytes` for all bodies together.
    pub fn new(max_bytes: u64) -> Self {
        let permits = usize::try_from(max_bytes / PERMIT_BYTES).unwrap_or(usize::MAX);
        Self {
            permits: Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Reserves the memory that a body may occupy; returns `None` if too little is left.
    pub fn try_reserve(
        &self,
        body: &Incoming,
        body_max_bytes: usize,
    ) -> Option<ReservedBodyMemory> {
        let hint = body.size_hint();
        let size_bytes = hint.exact().unwrap_or(body_max_bytes as u64);
        let permits = size_bytes.min(body_max_bytes as u64).div_ceil(PERMIT_BYTES);
        let permits = u32::try_from(permits).ok()?;
        let acquired = self.permits.clone().try_acquire_many_owned(permits).ok()?;
        Some(ReservedBodyMemory { _permits: acquired })
    }
}
