//! Errors of `ggt` commands and the exit codes of the program.

use {
    crate::{
        config::{ConfigFault, ConfigReadError},
        peer::PeerError,
        security::TlsError,
    },
    std::net::SocketAddr,
    thiserror::Error,
};

/// Exit code of a command that succeeded.
pub const EXIT_SUCCESS: u8 = 0;
/// Exit code of a command that was refused or failed.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for an invalid command line.
pub const EXIT_USAGE: u8 = 2;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// The directory of objects cannot be read.
    #[error(transparent)]
    Read(#[from] ConfigReadError),
    /// The configuration is invalid; all its faults are listed.
    #[error("{} faults", .0.len())]
    Faults(Vec<ConfigFault>),
    /// The file with the operators' key cannot be read.
    #[error("cannot read the key file: {0}")]
    KeyFile(std::io::Error),
    /// The TLS files cannot be read or are invalid.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The call to the keeper failed.
    #[error("keeper: {0}")]
    Keeper(#[from] PeerError),
    /// The call to a node failed, or the node returned an error.
    #[error("node {address}: {cause}")]
    Node {
        /// The address of the node's control port.
        address: SocketAddr,
        /// Why the call failed.
        cause: String,
    },
    /// The keeper rejected the configuration because of the listed faults.
    #[error("the keeper refused the configuration:\n{}", .0.join("\n"))]
    Refused(Vec<String>),
    /// The response of the keeper or node cannot be decoded.
    #[error("the answer cannot be read: {0}")]
    InvalidResponse(#[from] serde_json::Error),
    /// The call succeeded without the requested result, such as a revision that is no longer stored
    /// or a publication that another one overtook.
    #[error("{0}")]
    Unsuccessful(String),
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] std::io::Error),
}

impl CliError {
    /// Returns the exit code for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => EXIT_USAGE,
            _ => EXIT_FAILURE,
        }
    }
}
