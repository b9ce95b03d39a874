//! Compression of bodies with gzip.

use {
    bytes::Bytes,
    flate2::{Compression, read::GzDecoder, write::GzEncoder},
    std::io::{Read, Write},
};

/// The name of the encoding in HTTP headers.
pub const GZIP: &str = "gzip";

/// Compresses a body; returns `None` if that fails.
pub fn compress(body: &[u8]) -> Option<Bytes> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(body).ok()?;
    encoder.finish().ok().map(Bytes::from)
}

/// Decompresses a body; returns `None` if it is malformed or larger than `max_bytes`.
pub fn decompress(body: &[u8], max_bytes: usize) -> Option<Bytes> {
    let mut decompressed = Vec::new();
    let limit = max_bytes as u64 + 1;
    let mut decoder = GzDecoder::new(body).take(limit);
    decoder.read_to_end(&mut decompressed).ok()?;
    (decompressed.len() <= max_bytes).then(|| Bytes::from(decompressed))
}
