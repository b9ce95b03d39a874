//! Encodes a catalog as content-addressed blobs, and decodes it.

use {
    super::{
        Blob, Manifest, SnapshotError,
        chunk::{decode_chunk, encode_kind},
    },
    crate::config::{Catalog, Digest, ObjectKind},
};

/// A catalog encoded as a manifest and chunks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedSnapshot {
    digest: Digest,
    blobs: Vec<Blob>,
}

impl EncodedSnapshot {
    /// Encodes a catalog.
    ///
    /// # Errors
    ///
    /// Fails when an object or the whole catalog is too large.
    pub fn encode(catalog: &Catalog) -> Result<Self, SnapshotError> {
        let objects = catalog.objects();
        let mut blobs = Vec::new();
        for kind in ObjectKind::ALL {
            blobs.extend(encode_kind(kind, &objects)?);
        }
        let mut chunks: Vec<Digest> = blobs.iter().map(Blob::digest).collect();
        chunks.sort();
        chunks.dedup();
        let manifest = Manifest { chunks }.encode()?;
        let digest = manifest.digest();
        blobs.push(manifest);
        Ok(Self::from_blobs(digest, blobs))
    }

    /// Assembles a snapshot from fetched blobs; missing blobs are found when it is decoded.
    pub fn from_blobs(digest: Digest, mut blobs: Vec<Blob>) -> Self {
        blobs.sort_by_key(Blob::digest);
        blobs.dedup_by_key(|blob| blob.digest());
        Self { digest, blobs }
    }

    /// Returns the digest of the manifest, which identifies the snapshot.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the manifest and chunks, sorted by digest.
    pub fn blobs(&self) -> &[Blob] {
        &self.blobs
    }

    /// Finds a blob by its digest.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot does not hold the blob.
    pub fn blob(&self, digest: Digest) -> Result<&Blob, SnapshotError> {
        self.blobs
            .binary_search_by_key(&digest, Blob::digest)
            .map(|position| &self.blobs[position])
            .map_err(|_| SnapshotError::MissingBlob(digest))
    }

    /// Decodes the catalog.
    ///
    /// # Errors
    ///
    /// Fails when a blob is missing or malformed.
    pub fn decode(&self) -> Result<Catalog, SnapshotError> {
        let manifest = Manifest::decode(self.blob(self.digest)?)?;
        let mut objects = Vec::new();
        for digest in manifest.chunks {
            objects.extend(decode_chunk(self.blob(digest)?)?);
        }
        Ok(Catalog::from_objects(objects))
    }
}
