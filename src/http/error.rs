//! Errors of the HTTP layer.

use thiserror::Error;

/// Why a body ends without being complete.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the body was cut: {0}")]
pub struct BodyError(pub String);

/// Why a request to a backend server has no response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendError {
    /// The backend server refused the connection; no byte of the request left.
    #[error("the connection was refused")]
    ConnectionRefused,
    /// There was no connection in time; no byte of the request left.
    #[error("cannot connect: {0}")]
    NotConnected(String),
    /// The connection broke once the first byte may have left.
    #[error("the connection broke: {0}")]
    Broken(String),
}

/// Why a body could not be read whole.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReadError {
    /// It is larger than allowed.
    #[error("the body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// It did not arrive in time.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// It ended early.
    #[error("the body was cut: {0}")]
    Cut(String),
}
