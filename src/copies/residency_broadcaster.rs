//! The interface through which the order task reports residency changes.

use crate::dispatch::ResidencyChange;

/// Broadcasts residency changes to all nodes.
pub trait ResidencyBroadcaster: Send + Sync {
    /// Broadcasts changes in what runners hold.
    fn broadcast(&self, changes: &[ResidencyChange]);
}
