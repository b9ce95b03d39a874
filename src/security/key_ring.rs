//! The shared keys that are accepted at one time.

use {
    super::SharedKey,
    std::sync::{Arc, PoisonError, RwLock},
};

/// The shared keys that are accepted; they can be replaced while they are in use.
///
/// The first one is the one that is offered. Without any key nothing is checked.
#[derive(Debug, Clone, Default)]
pub struct KeyRing(Arc<RwLock<Vec<SharedKey>>>);

impl KeyRing {
    /// Makes a ring of keys.
    pub fn new(keys: Vec<SharedKey>) -> Self {
        Self(Arc::new(RwLock::new(keys)))
    }

    /// Accepts other keys from now on.
    pub fn replace(&self, keys: Vec<SharedKey>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = keys;
    }

    /// Returns what a function makes of the keys.
    pub fn with_keys<T>(&self, read: impl FnOnce(&[SharedKey]) -> T) -> T {
        read(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether no key is set.
    pub fn is_empty(&self) -> bool {
        self.with_keys(<[_]>::is_empty)
    }

    /// Returns whether an offered key is accepted; each key is compared.
    pub fn accepts(&self, offered: &[u8]) -> bool {
        let matches = |keys: &[SharedKey]| {
            let matching = keys.iter().filter(|key| key.matches(offered));
            matching.count()
        };
        self.with_keys(matches) > 0
    }
}
