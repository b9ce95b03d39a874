//! A content-addressed blob.

use {super::SnapshotError, crate::config::Digest, bytes::Bytes};

/// The largest size of a blob, in bytes.
pub const BLOB_MAX_BYTES: usize = 256 * 1024;

/// A piece of content with its matching digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Blob {
    digest: Digest,
    data: Bytes,
}

impl Blob {
    /// Creates a blob and computes its digest.
    pub fn new(data: Bytes) -> Self {
        let digest = Digest::of(&data);
        Self { digest, data }
    }

    /// Creates a blob from content that must have a given digest.
    ///
    /// # Errors
    ///
    /// Fails when the content is too large or has another digest.
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
