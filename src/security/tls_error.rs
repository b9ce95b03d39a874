//! Errors of TLS.

use {
    std::{
        io,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
    thiserror::Error,
    tokio_rustls::rustls::{self, AlertDescription, CertificateError},
};

/// Why TLS could not be set up, or a handshake failed.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file cannot be read.
    #[error("tls: {} cannot be read: {cause}", .file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The cause.
        cause: io::Error,
    },
    /// A file cannot be parsed.
    #[error("tls: {}: {cause}", .file.display())]
    Parse {
        /// The file.
        file: PathBuf,
        /// The cause.
        cause: String,
    },
    /// The certificate, its key and the authorities cannot be used together.
    #[error("tls: the certificate or key cannot be used: {0}")]
    Unusable(String),
    /// A handshake failed.
    #[error("tls: no connection with {peer}: {cause}")]
    Handshake {
        /// The address of the other end.
        peer: SocketAddr,
        /// The cause.
        cause: String,
    },
}

impl TlsError {
    pub(super) fn parse_failure(file: &Path, cause: impl ToString) -> Self {
        Self::Parse {
            file: file.to_owned(),
            cause: cause.to_string(),
        }
    }

    /// Describes a failed handshake; names the certificate that was refused.
    pub(super) fn handshake_failure(peer: SocketAddr, cause: &io::Error) -> Self {
        let inner = cause.get_ref();
        let known = inner.and_then(|inner| inner.downcast_ref::<rustls::Error>());
        let wrong_role = CertificateError::ApplicationVerificationFailure;
        let cause = match known {
            Some(rustls::Error::InvalidCertificate(found)) if *found == wrong_role => {
                "its certificate names no role that may connect here".to_owned()
            }
            Some(rustls::Error::AlertReceived(AlertDescription::AccessDenied)) => {
                "the role that the own certificate names is refused there".to_owned()
            }
            Some(rustls::Error::AlertReceived(alert)) => {
                format!("the own certificate is refused there: {alert:?}")
            }
            _ => cause.to_string(),
        };
        Self::Handshake { peer, cause }
    }
}
