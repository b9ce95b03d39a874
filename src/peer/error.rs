//! Errors of calls between processes.

use {
    crate::{security::TlsError, units::UnitError},
    thiserror::Error,
};

/// Why a call between processes failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The TCP connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// One end refused the other's certificate.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// No reply came in time.
    #[error("no reply in time")]
    Timeout,
    /// The call failed at the other end, or the connection failed.
    #[error("call failed: {0}")]
    Rpc(#[from] capnp::Error),
    /// A name or number in a message is invalid.
    #[error("invalid message: {0}")]
    Unit(#[from] UnitError),
    /// A string in a message is not UTF-8.
    #[error("invalid message: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// A union in a message has a variant that this program's schema doesn't know.
    #[error("invalid message: {0}")]
    Schema(#[from] capnp::NotInSchema),
}

impl From<PeerError> for capnp::Error {
    fn from(error: PeerError) -> Self {
        match error {
            PeerError::Rpc(error) => error,
            other => capnp::Error::failed(other.to_string()),
        }
    }
}
