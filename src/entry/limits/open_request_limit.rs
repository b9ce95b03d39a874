//! Limits the number of open requests.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Limit of the open requests of an entry.
#[derive(Debug, Clone)]
pub struct OpenRequestLimit {
    max: usize,
    count: Arc<AtomicUsize>,
}

/// Counts one open request until it is dropped.
#[derive(Debug)]
pub struct OpenRequestGuard(Arc<AtomicUsize>);

impl OpenRequestLimit {
    /// Creates a limit of `max` open requests.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            count: Arc::default(),
        }
    }

    /// Counts another open request; returns `None` at the limit.
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
