//! Errors of the keeper as a process.

use {crate::security::TlsError, std::net::SocketAddr, thiserror::Error};

/// Why a keeper cannot run.
#[derive(Debug, Error)]
pub enum KeeperError {
    /// A listener cannot be had.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        cause: std::io::Error,
    },
    /// The runtime cannot be had.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[from] std::io::Error),
    /// The metrics recorder cannot be installed.
    #[error("cannot set up metrics: {0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
    /// The files of TLS cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
}
