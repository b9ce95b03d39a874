//! Runs a node as a process.

use {
    super::{NodeParts, NodeSettings, stop_signal::stop_on_signal},
    thiserror::Error,
};

/// Why a node cannot run.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address cannot be had.
    #[error("{what}: {cause}")]
    Io {
        /// What was wanted.
        what: &'static str,
        /// Why not.
        cause: std::io::Error,
    },
}

/// Runs a node until the planned stop.
///
/// # Errors
///
/// Fails when an address is taken.
pub async fn run(_settings: NodeSettings, _parts: NodeParts) -> Result<(), NodeError> {
    let stop = stop_on_signal().map_err(|cause| NodeError::Io {
        what: "signals",
        cause,
    })?;
    stop.cancelled().await;
    Ok(())
}
