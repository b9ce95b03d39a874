//! Shared keys.

use {std::fmt, subtle::ConstantTimeEq};

/// A shared key; it is compared in constant time and never printed.
#[derive(Clone)]
pub struct SharedKey(Vec<u8>);

impl SharedKey {
    /// Takes a key from settings.
    pub fn new(key: impl Into<Vec<u8>>) -> Self {
        Self(key.into())
    }

    /// Returns whether the offered key is this one.
    pub fn matches(&self, offered: &[u8]) -> bool {
        self.0.ct_eq(offered).into()
    }

    /// Returns the key, to be sent to a process that knows it.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey(hidden)")
    }
}
