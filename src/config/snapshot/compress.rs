//! Compression, and decompression with a limit on the size of the result.

use {
    super::SnapshotError,
    flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder},
    std::io::{Read, Write},
};

/// The largest size of a decompressed blob, in bytes.
pub(super) const DECOMPRESSED_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Compresses some content with zlib.
///
/// # Errors
///
/// Fails when the encoder reports an error.
pub(super) fn compress(raw: &[u8]) -> Result<Vec<u8>, SnapshotError> {
    let fail = |cause: std::io::Error| SnapshotError::Malformed(cause.to_string());
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(raw).map_err(fail)?;
    encoder.finish().map_err(fail)
}

/// Decompresses some content to at most [`DECOMPRESSED_MAX_BYTES`].
///
/// # Errors
///
/// Fails when the content is malformed or larger than the limit when decompressed.
pub(super) fn decompress(compressed: &[u8]) -> Result<Vec<u8>, SnapshotError> {
    let mut raw = Vec::new();
    let limit = DECOMPRESSED_MAX_BYTES as u64 + 1;
    ZlibDecoder::new(compressed)
        .take(limit)
        .read_to_end(&mut raw)
        .map_err(|cause| SnapshotError::Malformed(cause.to_string()))?;
    if raw.len() > DECOMPRESSED_MAX_BYTES {
        return Err(SnapshotError::TooLarge(
            "a blob is too large when decompressed",
        ));
    }
    Ok(raw)
}
