//! The configuration in force on this node.

use {
    super::{ConfigVersion, RouteMap},
    std::sync::Arc,
    tokio::sync::watch,
};

/// Holds the newest configuration; it never goes back to an older version.
#[derive(Debug)]
pub struct TrafficBoard(watch::Sender<Option<Arc<RouteMap>>>);

impl Default for TrafficBoard {
    fn default() -> Self {
        Self(watch::Sender::new(None))
    }
}

impl TrafficBoard {
    /// Puts a configuration in force unless its version is not above the present one.
    ///
    /// Returns whether it is now in force.
    pub fn offer(&self, map: RouteMap) -> bool {
        self.0.send_if_modified(|current| {
            let newer = current
                .as_ref()
                .is_none_or(|known| known.config().version < map.config().version);
            if newer {
                *current = Some(Arc::new(map));
            }
            newer
        })
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<Arc<RouteMap>> {
        self.0.borrow().clone()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<ConfigVersion> {
        let current = self.0.borrow();
        current.as_ref().map(|map| map.config().version)
    }

    /// Returns a receiver that wakes on each new configuration.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<RouteMap>>> {
        self.0.subscribe()
    }
}
