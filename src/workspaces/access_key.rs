//! The keys with which callers name their workspace.

use {
    sha2::{Digest, Sha256},
    std::fmt,
};

/// An access key of a workspace; only its digest is kept, so that no log can hold the key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AccessKey([u8; 32]);

impl AccessKey {
    /// Creates the key that a caller sends as `text`.
    pub fn new(text: &[u8]) -> Self {
        Self(Sha256::digest(text).into())
    }
}

impl fmt::Debug for AccessKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccessKey(hidden)")
    }
}
