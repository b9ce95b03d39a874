//! The configuration that is active on a node.

use {
    super::{ConfigVersion, RouteTable},
    crate::units::unix_now_ms,
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, PoisonError},
    },
    tokio::sync::watch,
};

/// The number of activations that the history keeps.
const HISTORY_ENTRIES_MAX: usize = 64;

/// The activation of a configuration on a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigActivation {
    /// The version of the configuration.
    pub version: u64,
    /// The time of activation by the node's clock, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// Holds the active configuration and the history of its versions, which only increase.
#[derive(Debug)]
pub struct ActiveConfig {
    current: watch::Sender<Option<Arc<RouteTable>>>,
    history: Mutex<VecDeque<ConfigActivation>>,
}

impl Default for ActiveConfig {
    fn default() -> Self {
        Self {
            current: watch::Sender::new(None),
            history: Mutex::default(),
        }
    }
}

impl ActiveConfig {
    /// Activates a configuration if its version is above the active one.
    ///
    /// Returns whether it was activated.
    pub fn activate_if_newer(&self, table: RouteTable) -> bool {
        let version = table.config().version;
        let is_newer = self.current.send_if_modified(|current| {
            let is_newer = current
                .as_ref()
                .is_none_or(|known| known.config().version < table.config().version);
            if is_newer {
                *current = Some(Arc::new(table));
            }
            is_newer
        });
        if is_newer {
            self.record_activation(version);
        }
        is_newer
    }

    /// Returns the active configuration.
    pub fn current(&self) -> Option<Arc<RouteTable>> {
        self.current.borrow().clone()
    }

    /// Returns the version of the active configuration.
    pub fn version(&self) -> Option<ConfigVersion> {
        let current = self.current.borrow();
        current.as_ref().map(|table| table.config().version)
    }

    /// Returns the latest activations, the newest last.
    pub fn history(&self) -> Vec<ConfigActivation> {
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history.iter().cloned().collect()
    }

    /// Returns a receiver that is notified of each activation.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<RouteTable>>> {
        self.current.subscribe()
    }

    fn record_activation(&self, version: ConfigVersion) {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        if history.len() >= HISTORY_ENTRIES_MAX {
            history.pop_front();
        }
        history.push_back(ConfigActivation {
            version: version.0,
            at_unix_ms: unix_now_ms(),
        });
    }
}
