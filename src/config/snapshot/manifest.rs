//! The list of a snapshot's chunks, whose digest identifies the whole snapshot.

use {
    super::{
        BLOB_MAX_BYTES, Blob, SnapshotError,
        compress::{compress, decompress},
    },
    crate::config::Digest,
    serde::{Deserialize, Serialize},
};

/// The largest number of chunks in a snapshot.
pub const CHUNKS_MAX: usize = 4096;

/// The list of a snapshot's chunks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The digests of the chunks, sorted.
    pub chunks: Vec<Digest>,
}

impl Manifest {
    /// Encodes the manifest.
    ///
    /// # Errors
    ///
    /// Fails when the manifest has too many chunks or is too large.
    pub fn encode(&self) -> Result<Blob, SnapshotError> {
        let too_large = SnapshotError::TooLarge("too many chunks");
        let raw = serde_json::to_vec(self)
            .map_err(|cause| SnapshotError::Malformed(cause.to_string()))?;
        let data = compress(&raw)?;
        if self.chunks.len() > CHUNKS_MAX || data.len() > BLOB_MAX_BYTES {
            return Err(too_large);
        }
        Ok(Blob::new(data.into()))
    }

    /// Decodes a manifest.
    ///
    /// # Errors
    ///
    /// Fails when the blob is not a manifest, or when it lists too many or unsorted chunks.
    pub fn decode(blob: &Blob) -> Result<Self, SnapshotError> {
        let raw = decompress(blob.data())?;
        let manifest: Self = serde_json::from_slice(&raw)
            .map_err(|cause| SnapshotError::Malformed(cause.to_string()))?;
        if manifest.chunks.len() > CHUNKS_MAX {
            return Err(SnapshotError::TooLarge("too many chunks"));
        }
        if !manifest.chunks.is_sorted_by(|a, b| a < b) {
            let problem = "the chunks are not sorted".to_owned();
            return Err(SnapshotError::Malformed(problem));
        }
        Ok(manifest)
    }
}
