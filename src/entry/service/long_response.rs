//! Responses of plain services that are too long to be buffered in memory.

use {
    super::BackendInFlightGuard,
    crate::http::{Body, BodyError, Connection},
    bytes::{Bytes, BytesMut},
    futures::stream,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    tokio::time::{self, Instant},
};

/// The bytes of a response that are buffered before any of them is passed to the caller.
const BUFFERED_MAX_BYTES: usize = 1024 * 1024;

/// The part of a response that was read before any of it is passed to the caller.
pub(super) enum ResponseStart {
    /// The complete body.
    Complete(Bytes),
    /// The first bytes of the body; the remainder has not been read yet.
    Partial(Bytes),
}

/// Reads a response to its end, or until [`BUFFERED_MAX_BYTES`] are exceeded.
pub(super) async fn read_start(
    body: &mut Incoming,
    deadline: Instant,
) -> Result<ResponseStart, ReadStartError> {
    let mut buffered = BytesMut::new();
    loop {
        let Some(chunk) = next_chunk(body, deadline).await? else {
            return Ok(ResponseStart::Complete(buffered.freeze()));
        };
        buffered.extend_from_slice(&chunk);
        if buffered.len() > BUFFERED_MAX_BYTES {
            return Ok(ResponseStart::Partial(buffered.freeze()));
        }
    }
}

/// The reason why the start of a response could not be read.
#[derive(Debug)]
pub(super) enum ReadStartError {
    /// The response ended early.
    Cut(String),
    /// The response did not arrive in time.
    TooSlow,
}

async fn next_chunk(
    body: &mut Incoming,
    deadline: Instant,
) -> Result<Option<Bytes>, ReadStartError> {
    loop {
        let frame = time::timeout_at(deadline, body.frame()).await;
        let frame = frame.map_err(|_| ReadStartError::TooSlow)?;
        let Some(frame) = frame else {
            return Ok(None);
        };
        let frame = frame.map_err(|cause| ReadStartError::Cut(cause.to_string()))?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// The remainder of a response that is being relayed to the caller.
pub(super) struct LongResponse {
    pub(super) body: Incoming,
    pub(super) connection: Connection,
    pub(super) in_flight: BackendInFlightGuard,
    pub(super) deadline: Instant,
}

impl LongResponse {
    /// Returns a body with the buffered bytes and then the remainder; a read error aborts the body.
    pub(super) fn into_body(self, buffered: Bytes) -> Body {
        let buffered = stream::once(async { Ok(buffered) });
        let rest = stream::unfold(Some(self), |response| async move {
            let mut response = response?;
            match next_chunk(&mut response.body, response.deadline).await {
                Ok(Some(chunk)) => Some((Ok(chunk), Some(response))),
                Ok(None) => {
                    response.connection.recycle();
                    drop(response.in_flight);
                    None
                }
                Err(cause) => Some((Err(BodyError(format!("{cause:?}"))), None)),
            }
        });
        Body::Stream(Box::pin(futures::StreamExt::chain(buffered, rest)))
    }
}
