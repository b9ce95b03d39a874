//! Splits objects into chunks by kind and by the hash of the name.

use {
    super::{
        BLOB_MAX_BYTES, Blob, SnapshotError,
        compress::{DECOMPRESSED_MAX_BYTES, compress, decompress},
    },
    crate::config::{Digest, Object, ObjectKind},
};

/// The average number of objects in a chunk.
const OBJECTS_PER_CHUNK: usize = 32;
/// The most chunks that one kind of object is split into.
const BUCKETS_MAX: usize = 4096;

/// Encodes all objects of one kind.
///
/// The chunk of an object depends only on the object's name and the number of chunks, so that a
/// changed object changes one chunk.
///
/// # Errors
///
/// Fails when an object or the number of objects is too large.
pub(super) fn encode_kind(
    kind: ObjectKind,
    objects: &[Object],
) -> Result<Vec<Blob>, SnapshotError> {
    let mut of_kind: Vec<&Object> = objects
        .iter()
        .filter(|object| object.kind() == kind)
        .collect();
    of_kind.sort_by(|a, b| a.name().cmp(b.name()));
    let mut buckets = of_kind
        .len()
        .div_ceil(OBJECTS_PER_CHUNK)
        .next_power_of_two();
    loop {
        match encode_buckets(&of_kind, buckets) {
            Err(SnapshotError::TooLarge(_)) if buckets < BUCKETS_MAX => buckets *= 2,
            result => return result,
        }
    }
}

/// Decodes the objects of one chunk.
///
/// # Errors
///
/// Fails when the chunk is malformed or too large when decompressed.
pub(super) fn decode_chunk(blob: &Blob) -> Result<Vec<Object>, SnapshotError> {
    let raw = decompress(blob.data())?;
    serde_json::from_slice(&raw).map_err(|cause| SnapshotError::Malformed(cause.to_string()))
}

fn encode_buckets(objects: &[&Object], buckets: usize) -> Result<Vec<Blob>, SnapshotError> {
    let mut chunks = vec![Vec::new(); buckets];
    for object in objects {
        chunks[bucket_of(object, buckets)].push(*object);
    }
    chunks
        .iter()
        .filter(|chunk| !chunk.is_empty())
        .map(|chunk| encode_chunk(chunk))
        .collect()
}

fn bucket_of(object: &Object, buckets: usize) -> usize {
    let Digest(bytes) = Digest::of(object.name().as_bytes());
    usize::from(u16::from_be_bytes([bytes[0], bytes[1]])) % buckets
}

fn encode_chunk(objects: &[&Object]) -> Result<Blob, SnapshotError> {
    let raw =
        serde_json::to_vec(objects).map_err(|cause| SnapshotError::Malformed(cause.to_string()))?;
    let data = compress(&raw)?;
    if raw.len() <= DECOMPRESSED_MAX_BYTES && data.len() <= BLOB_MAX_BYTES {
        return Ok(Blob::new(data.into()));
    }
    match objects {
        [object] => Err(SnapshotError::ObjectTooLarge(object.id())),
        _ => Err(SnapshotError::TooLarge("too many objects of one kind")),
    }
}
