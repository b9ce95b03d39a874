//! Answers of plain services that are too long to be buffered in memory.

use {
    super::BackendInFlightGuard,
    crate::http::{Body, BodyError, Connection},
    bytes::{Bytes, BytesMut},
    futures::stream,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    tokio::time::{self, Instant},
};

/// The bytes of a response that are buffered before any of it goes to the caller.
const BUFFERED_MAX_BYTES: usize = 1024 * 1024;

/// What of a response was read before any of it goes to the caller.
pub(super) enum ResponseStart {
    /// All of it.
    Complete(Bytes),
    /// As much as is buffered; the rest is yet to be read.
    Partial(Bytes),
}

/// Reads a response to its end, or as much of it as is buffered.
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

/// Why the start of a response could not be read.
#[derive(Debug)]
pub(super) enum ReadStartError {
    /// The response was cut.
    Cut(String),
    /// The response did not come in time.
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
    /// Sends what is buffered and then the rest; an error aborts the caller's body.
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
