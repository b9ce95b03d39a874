//! Answers of plain services that are too long to be held in memory.

use {
    super::BackendUse,
    crate::http::{Body, BodyError, Connection},
    bytes::{Bytes, BytesMut},
    futures::stream,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    tokio::time::{self, Instant},
};

/// The bytes of an answer that are held before any of it goes to the caller.
const HELD_MAX_BYTES: usize = 1024 * 1024;

/// What of an answer was read before any of it goes to the caller.
pub(super) enum AnswerStart {
    /// All of it.
    Whole(Bytes),
    /// As much as is held; the rest is yet to be read.
    Part(Bytes),
}

/// Reads an answer to its end, or as much of it as is held.
pub(super) async fn read_start(
    body: &mut Incoming,
    deadline: Instant,
) -> Result<AnswerStart, ReadStartError> {
    let mut held = BytesMut::new();
    loop {
        let Some(chunk) = next_chunk(body, deadline).await? else {
            return Ok(AnswerStart::Whole(held.freeze()));
        };
        held.extend_from_slice(&chunk);
        if held.len() > HELD_MAX_BYTES {
            return Ok(AnswerStart::Part(held.freeze()));
        }
    }
}

/// Why the start of an answer could not be read.
#[derive(Debug)]
pub(super) enum ReadStartError {
    /// The answer was cut.
    Cut(String),
    /// The answer did not come in time.
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

/// The remainder of an answer that is being relayed to the caller.
pub(super) struct LongAnswer {
    pub(super) body: Incoming,
    pub(super) connection: Connection,
    pub(super) in_use: BackendUse,
    pub(super) deadline: Instant,
}

impl LongAnswer {
    /// Sends what is held and then the rest; an error aborts the caller's body.
    pub(super) fn into_body(self, held: Bytes) -> Body {
        let held = stream::once(async { Ok(held) });
        let rest = stream::unfold(Some(self), |answer| async move {
            let mut answer = answer?;
            match next_chunk(&mut answer.body, answer.deadline).await {
                Ok(Some(chunk)) => Some((Ok(chunk), Some(answer))),
                Ok(None) => {
                    answer.connection.recycle();
                    drop(answer.in_use);
                    None
                }
                Err(cause) => Some((Err(BodyError(format!("{cause:?}"))), None)),
            }
        });
        Body::Stream(Box::pin(futures::StreamExt::chain(held, rest)))
    }
}
