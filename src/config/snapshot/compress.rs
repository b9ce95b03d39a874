//! Compression with a bound on what decompression may yield.

use {
    super::SnapshotError,
    flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder},
    std::io::{Read, Write},
};

/// The most that one blob may hold when decompressed, in bytes.
pub(super) const RAW_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Compresses some content.
pub(super) fn compress(raw: &[u8]) -> Result<Vec<u8>, SnapshotError> {
    let fail = |cause: std::io::Error| SnapshotError::Malformed(cause.to_string());
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(raw).map_err(fail)?;
    encoder.finish().map_err(fail)
}

/// Decompresses some content of at most [`RAW_MAX_BYTES`].
pub(super) fn decompress(compressed: &[u8]) -> Result<Vec<u8>, SnapshotError> {
    let mut raw = Vec::new();
    let limit = RAW_MAX_BYTES as u64 + 1;
    ZlibDecoder::new(compressed)
        .take(limit)
        .read_to_end(&mut raw)
        .map_err(|cause| SnapshotError::Malformed(cause.to_string()))?;
    if raw.len() > RAW_MAX_BYTES {
        return Err(SnapshotError::TooLarge(
            "a blob is too large when decompressed",
        ));
    }
    Ok(raw)
}
