//! The shared keys that a process accepts.

use {
    super::SharedKey,
    std::sync::{Arc, PoisonError, RwLock},
};

/// The shared keys that a process accepts; they can be replaced while in use.
///
/// The process itself uses the first key. An empty ring disables the check.
#[derive(Debug, Clone, Default)]
pub struct KeyRing(Arc<RwLock<Vec<SharedKey>>>);

impl KeyRing {
    /// Creates a ring of keys.
    pub fn new(keys: Vec<SharedKey>) -> Self {
        Self(Arc::new(RwLock::new(keys)))
    }

    /// Replaces all keys.
    pub fn replace(&self, keys: Vec<SharedKey>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = keys;
    }

    /// Calls `read` with the current keys and returns its result.
    pub fn with_keys<T>(&self, read: impl FnOnce(&[SharedKey]) -> T) -> T {
        read(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether no key is set.
    pub fn is_empty(&self) -> bool {
        self.with_keys(<[_]>::is_empty)
    }

    /// Returns whether an offered key is accepted.
    ///
    /// Every key is compared, so that the time doesn't depend on which one matches.
    pub fn accepts(&self, offered: &[u8]) -> bool {
        let matches = |keys: &[SharedKey]| {
            let matching = keys.iter().filter(|key| key.matches(offered));
            matching.count()
        };
        self.with_keys(matches) > 0
    }
}
