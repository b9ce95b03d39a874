//! Errors of the protocol between processes.

use {
    crate::{security::TlsError, units::UnitError},
    thiserror::Error,
};

/// Why a call between processes failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No connection was made.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// One end refused the other's certificate.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// No reply came in time.
    #[error("no reply in time")]
    Timeout,
    /// The other side, or the connection, failed.
    #[error("call failed: {0}")]
    Rpc(#[from] capnp::Error),
    /// A name or number in a message is wrong.
    #[error("bad message: {0}")]
    Unit(#[from] UnitError),
    /// A text in a message is not UTF-8.
    #[error("bad message: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// A union in a message is newer than this program.
    #[error("bad message: {0}")]
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
