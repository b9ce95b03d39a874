//! Reads bodies whole, within limits.

use {
    super::{Exchange, ReadError},
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::{Body as _, Incoming},
    std::time::Duration,
    tokio::time,
};

/// The longest response read only to use its connection again, in bytes.
const DISCARD_MAX_BYTES: usize = 64 * 1024;

/// The longest wait for such a response.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// Reads a body whole.
///
/// # Errors
///
/// Fails when the body is too large, too slow or cut.
pub async fn read_body(
    body: Incoming,
    limit_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, ReadError> {
    let announced = body.size_hint().lower();
    if announced > limit_bytes as u64 {
        return Err(ReadError::TooLarge { limit_bytes });
    }
    match time::timeout(timeout, collect(body, limit_bytes)).await {
        Ok(result) => result,
        Err(_) => Err(ReadError::TooSlow),
    }
}

/// Reads what is left of a short response, so that its connection can be used again.
pub async fn discard_body(exchange: Exchange) {
    let body = exchange.response.into_body();
    if read_body(body, DISCARD_MAX_BYTES, DISCARD_TIMEOUT)
        .await
        .is_ok()
    {
        exchange.connection.recycle();
    }
}

async fn collect(mut body: Incoming, limit_bytes: usize) -> Result<Bytes, ReadError> {
    let mut first = Bytes::new();
    let mut joined = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|cause| ReadError::Cut(cause.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if first.len().max(joined.len()) + data.len() > limit_bytes {
            return Err(ReadError::TooLarge { limit_bytes });
        }
        if first.is_empty() {
            first = data;
            continue;
        }
        if joined.is_empty() {
            joined.extend_from_slice(&first);
        }
        joined.extend_from_slice(&data);
    }
    if joined.is_empty() {
        return Ok(first);
    }
    Ok(joined.freeze())
}
