//! The paths of the TLS files in settings.

use {
    super::TlsError,
    serde::{Deserialize, Serialize},
    std::path::{Path, PathBuf},
};

/// The paths of the TLS files; all are in PEM format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// The own certificate, followed by the intermediate certificates.
    pub certificate_file: PathBuf,
    /// The private key of the own certificate.
    pub key_file: PathBuf,
    /// The certificates of all accepted authorities.
    pub authorities_file: PathBuf,
}

impl TlsFiles {
    /// Reads the paths from a JSON file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or parsed.
    pub fn read(path: &Path) -> Result<Self, TlsError> {
        let bytes = read_file(path)?;
        serde_json::from_slice(&bytes).map_err(|cause| TlsError::Parse {
            file: path.to_owned(),
            cause: cause.to_string(),
        })
    }
}

pub(super) fn read_file(path: &Path) -> Result<Vec<u8>, TlsError> {
    std::fs::read(path).map_err(|cause| TlsError::Read {
        file: path.to_owned(),
        cause,
    })
}
