//! What the holder of the orders tells the rest of its node.

use crate::dispatch::ResidencyChange;

/// Receives what was ordered, to tell all nodes.
pub trait OrderListener: Send + Sync {
    /// Passes on changes of what runners hold.
    fn changed(&self, notes: &[ResidencyChange]);
}
