//! Shared keys.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
    subtle::ConstantTimeEq,
    thiserror::Error,
};

/// The minimum length of a key in settings, in bytes.
const KEY_MIN_BYTES: usize = 16;

/// A shared key; compared in constant time and hidden in debug output.
#[derive(Clone, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SharedKey(Vec<u8>);

/// A key in settings that is too short.
#[derive(Debug, Error)]
#[error("a key must have at least {KEY_MIN_BYTES} bytes")]
pub struct KeyTooShortError;

impl SharedKey {
    /// Creates a key from bytes of any length.
    pub fn new(key: impl Into<Vec<u8>>) -> Self {
        Self(key.into())
    }

    /// Returns whether the offered bytes equal this key.
    pub fn matches(&self, offered: &[u8]) -> bool {
        self.0.ct_eq(offered).into()
    }

    /// Returns the bytes of the key, for a login or a message authentication code.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl TryFrom<String> for SharedKey {
    type Error = KeyTooShortError;

    fn try_from(text: String) -> Result<Self, KeyTooShortError> {
        if text.len() < KEY_MIN_BYTES {
            return Err(KeyTooShortError);
        }
        Ok(Self::new(text))
    }
}

impl From<SharedKey> for String {
    fn from(key: SharedKey) -> Self {
        Self::from_utf8_lossy(&key.0).into_owned()
    }
}

impl PartialEq for SharedKey {
    fn eq(&self, other: &Self) -> bool {
        self.matches(&other.0)
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey(hidden)")
    }
}
