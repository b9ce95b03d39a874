//! The credentials of a process.

use {super::SharedKey, crate::security::Tls};

/// The credentials that a process presents when it connects to another one.
#[derive(Debug, Clone)]
pub struct Credentials {
    /// The shared key.
    pub key: SharedKey,
    /// The TLS configuration with the process's certificate, if TLS is in use.
    pub tls: Option<Tls>,
}

impl From<SharedKey> for Credentials {
    fn from(key: SharedKey) -> Self {
        Self { key, tls: None }
    }
}
