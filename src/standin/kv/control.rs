//! The control of the key-value stand-in.

use {
    super::{KvFaults, KvState, MemoryStore},
    crate::standin::Controlled,
    serde_json::Value,
    std::sync::{Mutex, PoisonError},
};

/// The key-value stand-in with one kept copy, for the commands `copy` and `restore`.
#[derive(Debug)]
pub struct KvControl {
    store: MemoryStore,
    copy: Mutex<Option<KvState>>,
}

impl KvControl {
    /// Makes the control of a store.
    pub fn new(store: MemoryStore) -> Self {
        Self {
            store,
            copy: Mutex::default(),
        }
    }

    fn copy(&self) -> std::sync::MutexGuard<'_, Option<KvState>> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Controlled for KvControl {
    type Faults = KvFaults;

    fn faults(&self) -> KvFaults {
        self.store.faults()
    }

    fn set_faults(&self, faults: KvFaults) {
        self.store.set_faults(faults);
    }

    fn record(&self) -> Value {
        serde_json::to_value(self.store.counts()).unwrap_or_default()
    }

    fn run_command(&self, name: &str) -> bool {
        match name {
            "copy" => *self.copy() = Some(self.store.copy_state()),
            "restore" => match self.copy().clone() {
                Some(state) => self.store.restore(state),
                None => return false,
            },
            _ => return false,
        }
        true
    }
}
