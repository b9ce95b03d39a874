//! Limits the requests that are open at once.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The open requests of an entry.
#[derive(Debug, Clone)]
pub struct OpenRequestLimit {
    max: usize,
    count: Arc<AtomicUsize>,
}

/// One open request; it is counted until this is dropped.
#[derive(Debug)]
pub struct OpenRequestGuard(Arc<AtomicUsize>);

impl OpenRequestLimit {
    /// Allows `max` requests at once.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            count: Arc::default(),
        }
    }

    /// Takes a place, if there is one.
    pub fn try_acquire(&self) -> Option<OpenRequestGuard> {
        let guard = OpenRequestGuard(self.count.clone());
        let before = self.count.fetch_add(1, Ordering::Relaxed);
        (before < self.max).then_some(guard)
    }

    /// Returns the number of open requests.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
