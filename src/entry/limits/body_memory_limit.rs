//! Bounds the memory that the bodies of open requests take.

use {
    hyper::body::{Body, Incoming},
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// The unit in which memory is counted, in bytes.
const PERMIT_BYTES: u64 = 1024;

/// The memory for the bodies of open requests.
#[derive(Debug)]
pub struct BodyMemoryLimit {
    permits: Arc<Semaphore>,
}

/// Memory for one body, until this is dropped.
#[derive(Debug)]
pub struct ReservedBodyMemory {
    _permits: OwnedSemaphorePermit,
}

impl BodyMemoryLimit {
    /// Allows this many bytes in all.
    pub fn new(max_bytes: u64) -> Self {
        let permits = usize::try_from(max_bytes / PERMIT_BYTES).unwrap_or(usize::MAX);
        Self {
            permits: Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Reserves the space that a body may take, if there is enough.
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
