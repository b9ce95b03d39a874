//! The memory of responses that are buffered until a part of them is complete.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The most bytes that all responses of a node may buffer beyond [`FREE_BYTES`] each.
const BUDGET_BYTES: usize = 32 << 20;

/// The bytes that each response may buffer in any case, so that responses of the usual size are
/// served whatever others buffer.
const FREE_BYTES: usize = 16 * 1024;

/// The bytes that responses hold of the budget that they share.
#[derive(Debug, Clone, Default)]
pub(super) struct BufferBudget(Arc<AtomicUsize>);

impl BufferBudget {
    /// Returns the share of a response, which holds nothing yet.
    pub(super) fn share(&self) -> BufferShare {
        BufferShare {
            budget: self.clone(),
            held_bytes: 0,
        }
    }
}

/// What one response holds of the budget; dropping it releases the bytes.
#[derive(Debug, Default)]
pub(super) struct BufferShare {
    budget: BufferBudget,
    held_bytes: usize,
}

impl BufferShare {
    /// Holds what a buffer of a size needs, in place of what was held before.
    ///
    /// Returns `false`, and holds what it held, if other responses use up the budget.
    pub(super) fn resize(&mut self, buffered_bytes: usize) -> bool {
        let wanted = buffered_bytes.saturating_sub(FREE_BYTES);
        if wanted == self.held_bytes {
            return true;
        }
        let held = self.held_bytes;
        let update = |all: usize| {
            let all = all - held + wanted;
            (wanted <= held || all <= BUDGET_BYTES).then_some(all)
        };
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        let resized = self.budget.0.fetch_update(set, fetch, update).is_ok();
        if resized {
            self.held_bytes = wanted;
        }
        resized
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.held_bytes, Ordering::Relaxed);
    }
}
