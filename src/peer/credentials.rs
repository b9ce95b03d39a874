//! What a process shows to another one.

use {super::SharedKey, crate::security::Tls};

/// What a process shows to another one when it connects.
#[derive(Debug, Clone)]
pub struct Credentials {
    /// The shared key.
    pub key: SharedKey,
    /// Its certificate, where TLS is in use.
    pub tls: Option<Tls>,
}

impl From<SharedKey> for Credentials {
    fn from(key: SharedKey) -> Self {
        Self { key, tls: None }
    }
}
