//! Serializes a whole snapshot into one byte string, for the protocol between processes.

use {
    super::{BLOB_MAX_BYTES, Blob, CHUNKS_MAX, EncodedSnapshot, SnapshotError},
    bytes::{Buf, BufMut, Bytes, BytesMut},
};

/// The size of the length field before each blob, in bytes.
const LENGTH_BYTES: usize = 4;

impl EncodedSnapshot {
    /// Serializes all blobs, the manifest first, each preceded by its length.
    ///
    /// # Errors
    ///
    /// Fails when the manifest is missing.
    pub fn pack(&self) -> Result<Bytes, SnapshotError> {
        let mut packed = BytesMut::new();
        write_blob(&mut packed, self.blob(self.digest())?);
        for blob in self.blobs() {
            if blob.digest() != self.digest() {
                write_blob(&mut packed, blob);
            }
        }
        Ok(packed.freeze())
    }

    /// Deserializes a snapshot from the result of [`pack`](Self::pack).
    ///
    /// # Errors
    ///
    /// Fails when the bytes are truncated, a blob is too large, or there are too many blobs.
    pub fn unpack(mut packed: Bytes) -> Result<Self, SnapshotError> {
        let manifest = read_blob(&mut packed)?;
        let digest = manifest.digest();
        let mut blobs = vec![manifest];
        while packed.has_remaining() {
            if blobs.len() > CHUNKS_MAX {
                return Err(SnapshotError::TooLarge("too many chunks"));
            }
            blobs.push(read_blob(&mut packed)?);
        }
        Ok(Self::from_blobs(digest, blobs))
    }
}

fn write_blob(packed: &mut BytesMut, blob: &Blob) {
    packed.put_u32(blob.data().len() as u32);
    packed.put_slice(blob.data());
}

fn read_blob(packed: &mut Bytes) -> Result<Blob, SnapshotError> {
    let malformed = || SnapshotError::Malformed("the packed snapshot is truncated".to_owned());
    if packed.remaining() < LENGTH_BYTES {
        return Err(malformed());
    }
    let length = packed.get_u32() as usize;
    if length > BLOB_MAX_BYTES {
        return Err(SnapshotError::TooLarge("a blob is too large"));
    }
    if packed.remaining() < length {
        return Err(malformed());
    }
    Ok(Blob::new(packed.split_to(length)))
}
