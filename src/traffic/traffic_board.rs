//! The configuration in force on this node.

use {
    super::{ConfigVersion, RouteMap},
    crate::units::unix_now_ms,
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, PoisonError},
    },
    tokio::sync::watch,
};

/// The versions whose times are remembered.
const HISTORY_MAX: usize = 64;

/// A configuration that this node put in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Its version.
    pub version: u64,
    /// When, in milliseconds since the Unix epoch by this node's clock.
    pub at_unix_ms: u64,
}

/// Holds the newest configuration; it never goes back to an older version.
#[derive(Debug)]
pub struct TrafficBoard {
    current: watch::Sender<Option<Arc<RouteMap>>>,
    history: Mutex<VecDeque<ConfigChange>>,
}

impl Default for TrafficBoard {
    fn default() -> Self {
        Self {
            current: watch::Sender::new(None),
            history: Mutex::default(),
        }
    }
}

impl TrafficBoard {
    /// Puts a configuration in force unless its version is not above the present one.
    ///
    /// Returns whether it is now in force.
    pub fn offer(&self, map: RouteMap) -> bool {
        let version = map.config().version;
        let newer = self.current.send_if_modified(|current| {
            let newer = current
                .as_ref()
                .is_none_or(|known| known.config().version < map.config().version);
            if newer {
                *current = Some(Arc::new(map));
            }
            newer
        });
        if newer {
            self.remember(version);
        }
        newer
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<Arc<RouteMap>> {
        self.current.borrow().clone()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<ConfigVersion> {
        let current = self.current.borrow();
        current.as_ref().map(|map| map.config().version)
    }

    /// Returns the newest configurations that this node put in force, the newest last.
    pub fn history(&self) -> Vec<ConfigChange> {
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history.iter().cloned().collect()
    }

    /// Returns a receiver that wakes on each new configuration.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<RouteMap>>> {
        self.current.subscribe()
    }

    fn remember(&self, version: ConfigVersion) {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        if history.len() >= HISTORY_MAX {
            history.pop_front();
        }
        history.push_back(ConfigChange {
            version: version.0,
            at_unix_ms: unix_now_ms(),
        });
    }
}
