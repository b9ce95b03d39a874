//! Bounds the memory that the bodies of open requests take.

use {
    hyper::body::{Body, Incoming},
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// The unit in which memory is counted, in bytes.
const UNIT_BYTES: u64 = 1024;

/// The memory for the bodies of open requests.
#[derive(Debug)]
pub struct BodySpace {
    units: Arc<Semaphore>,
}

/// Memory for one body, until this is dropped.
#[derive(Debug)]
pub struct ReservedSpace {
    _units: OwnedSemaphorePermit,
}

impl BodySpace {
    /// Allows this many bytes in all.
    pub fn new(max_bytes: u64) -> Self {
        let units = usize::try_from(max_bytes / UNIT_BYTES).unwrap_or(usize::MAX);
        Self {
            units: Arc::new(Semaphore::new(units.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Reserves the space that a body may take, if there is enough.
    pub fn reserve(&self, body: &Incoming, body_max_bytes: usize) -> Option<ReservedSpace> {
        let hint = body.size_hint();
        let size_bytes = hint.exact().unwrap_or(body_max_bytes as u64);
        let units = size_bytes.min(body_max_bytes as u64).div_ceil(UNIT_BYTES);
        let units = u32::try_from(units).ok()?;
        let permit = self.units.clone().try_acquire_many_owned(units).ok()?;
        Some(ReservedSpace { _units: permit })
    }
}
