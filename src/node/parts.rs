//! What the adapter hands to a node.

use {
    super::{Formats, RunnerControl},
    crate::store::SharedStore,
    std::{fmt, sync::Arc},
};

/// The adapter's side of a node.
#[derive(Clone)]
pub struct NodeParts {
    /// The platform's store.
    pub store: SharedStore,
    /// The platform's formats.
    pub formats: Arc<dyn Formats>,
    /// The platform's calls to runners.
    pub control: Arc<dyn RunnerControl>,
}

impl fmt::Debug for NodeParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("NodeParts")
    }
}
