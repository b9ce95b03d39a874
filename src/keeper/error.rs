//! Errors that end a keeper process.

use {crate::security::TlsError, std::net::SocketAddr, thiserror::Error};

/// Why a keeper cannot run.
#[derive(Debug, Error)]
pub enum KeeperError {
    /// A listener could not be bound.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The cause.
        cause: std::io::Error,
    },
    /// The runtime could not be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[from] std::io::Error),
    /// The metrics recorder could not be installed.
    #[error("cannot set up metrics: {0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
    /// The TLS files could not be loaded.
    #[error(transparent)]
    Tls(#[from] TlsError),
}
