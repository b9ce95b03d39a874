//! A piece of content that is named by its digest.

use {super::SnapshotError, crate::config::Digest, bytes::Bytes};

/// The largest blob, in bytes.
pub const BLOB_MAX_BYTES: usize = 256 * 1024;

/// A piece of content together with its digest, which always matches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Blob {
    digest: Digest,
    data: Bytes,
}

impl Blob {
    /// Digests some content.
    pub fn new(data: Bytes) -> Self {
        let digest = Digest::of(&data);
        Self { digest, data }
    }

    /// Verifies the digest of some content.
    ///
    /// # Errors
    ///
    /// Fails when it is too large or has another digest.
    pub fn verify(digest: Digest, data: Bytes) -> Result<Self, SnapshotError> {
        if data.len() > BLOB_MAX_BYTES || Digest::of(&data) != digest {
            return Err(SnapshotError::DigestMismatch(digest));
        }
        Ok(Self { digest, data })
    }

    /// Returns the digest of the content.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the content.
    pub fn data(&self) -> &Bytes {
        &self.data
    }
}
