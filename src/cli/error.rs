//! Errors of the command line, with their exit codes.

use {
    crate::{
        config::{ConfigFault, ConfigReadError},
        peer::PeerError,
        security::TlsError,
    },
    std::net::SocketAddr,
    thiserror::Error,
};

/// The exit code of a command that did what it was asked.
pub const EXIT_DONE: u8 = 0;
/// The exit code of a command that was refused or failed.
pub const EXIT_REFUSED: u8 = 1;
/// The exit code of a wrong command line.
pub const EXIT_USAGE: u8 = 2;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// The directory of objects cannot be read.
    #[error(transparent)]
    Read(#[from] ConfigReadError),
    /// The configuration has faults.
    #[error("{} faults", .0.len())]
    Faults(Vec<ConfigFault>),
    /// The file with the operators' key cannot be read.
    #[error("cannot read the key file: {0}")]
    KeyFile(std::io::Error),
    /// The files of TLS cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The keeper gave no good answer.
    #[error("keeper: {0}")]
    Keeper(#[from] PeerError),
    /// A node gave no good answer.
    #[error("node {address}: {cause}")]
    Node {
        /// The address of its control port.
        address: SocketAddr,
        /// What happened.
        cause: String,
    },
    /// The keeper refused the configuration.
    #[error("the keeper refused the configuration:\n{}", .0.join("\n"))]
    Refused(Vec<String>),
    /// The answer of the keeper or node cannot be read.
    #[error("the answer cannot be read: {0}")]
    Answer(#[from] serde_json::Error),
    /// The wanted revision is not kept.
    #[error("{0}")]
    NotFound(String),
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] std::io::Error),
}

impl CliError {
    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => EXIT_USAGE,
            _ => EXIT_REFUSED,
        }
    }
}
