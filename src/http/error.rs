//! Errors of the HTTP layer.

use thiserror::Error;

/// An error that ends a body before it is complete.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the body is incomplete: {0}")]
pub struct BodyError(pub String);

/// Why a request received no response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendError {
    /// The server refused the connection; nothing of the request was sent.
    #[error("the connection was refused")]
    ConnectionRefused,
    /// No connection could be established; nothing of the request was sent.
    #[error("cannot connect: {0}")]
    NotConnected(String),
    /// The connection failed when a part of the request may have been sent.
    #[error("the connection failed: {0}")]
    Broken(String),
}

/// Why a body could not be read completely.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The body is larger than allowed.
    #[error("the body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// The largest allowed body, in bytes.
        limit_bytes: usize,
    },
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// There is no memory for the body.
    #[error("there is no memory for the body")]
    NoMemory,
    /// The body ended before it was complete.
    #[error("the body is incomplete: {0}")]
    Cut(String),
}
