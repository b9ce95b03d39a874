//! Reads complete bodies within limits.

use {
    super::{Exchange, ReadError},
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::{Body as _, Incoming},
    std::time::Duration,
    tokio::time,
};

/// The largest response body that is discarded to reuse its connection, in bytes.
const DISCARD_MAX_BYTES: usize = 64 * 1024;

/// The longest time for which a response body is discarded to reuse its connection.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// Reads a complete body.
///
/// # Errors
///
/// Fails if the body is too large, arrives too slowly or ends early.
pub async fn read_body(
    body: Incoming,
    limit_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, ReadError> {
    let declared_bytes = body.size_hint().lower();
    if declared_bytes > limit_bytes as u64 {
        return Err(ReadError::TooLarge { limit_bytes });
    }
    match time::timeout(timeout, collect(body, limit_bytes)).await {
        Ok(result) => result,
        Err(_) => Err(ReadError::TooSlow),
    }
}

/// Discards the body of a response and returns its connection to the pool.
///
/// Closes the connection if the body is too large or does not arrive in time.
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
