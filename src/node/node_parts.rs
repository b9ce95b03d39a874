//! The parts of a node that a platform adapter provides.

use {
    super::{Formats, RunnerControl},
    crate::store::SharedStore,
    std::{fmt, sync::Arc},
};

/// The parts of a node that a platform adapter provides.
#[derive(Clone)]
pub struct NodeParts {
    /// The client of the platform's store.
    pub store: SharedStore,
    /// The codec of the platform's formats.
    pub formats: Arc<dyn Formats>,
    /// The client of the runners' order and report calls.
    pub control: Arc<dyn RunnerControl>,
}

impl fmt::Debug for NodeParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("NodeParts")
    }
}
