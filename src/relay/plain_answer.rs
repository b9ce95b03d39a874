//! Answers that are no streams of events.

use {
    super::{Answered, Call, Keep, RunnerConnection, SentPlace, answer},
    crate::{
        dispatch::AttemptOutcome,
        http::{Body, BodyError},
    },
    bytes::{Bytes, BytesMut},
    futures::{StreamExt, stream},
    http_body_util::BodyExt,
    hyper::{Method, Response, body::Incoming},
    tokio::time::{self, Instant},
};

/// The largest answer that is read whole before its head is passed on, in bytes.
const WHOLE_MAX_BYTES: usize = 256 * 1024;

/// An answer of which a part is read.
struct PartRead {
    read: Bytes,
    body: Incoming,
    place: SentPlace,
    connection: RunnerConnection,
    keep: Keep,
    ends_at: Instant,
    outcome: AttemptOutcome,
}

impl Answered {
    /// Reads the answer and passes it on; `None` if it breaks off before anything was passed on.
    pub(super) async fn into_plain(
        self,
        call: &Call,
        outcome: AttemptOutcome,
    ) -> Option<Response<Body>> {
        let (mut head, mut body) = answer::split(self.response);
        let read = match read_start(&mut body).await {
            Ok(read) => read,
            Err(cause) => {
                log::debug!("relay: {} broke off: {cause}", self.place.runner.key.id);
                self.place.finish(AttemptOutcome::Broken);
                return None;
            }
        };
        if body_is_over(&read) {
            self.place.finish(outcome);
            self.connection.recycle(self.keep);
            if call.method != Method::HEAD {
                answer::remove_length(&mut head);
            }
            return Some(Response::from_parts(head, Body::from(read.bytes)));
        }
        let rest = PartRead {
            read: read.bytes,
            body,
            place: self.place,
            connection: self.connection,
            keep: self.keep,
            ends_at: call.ends_at,
            outcome,
        };
        let chunks = stream::unfold(Some(Box::new(rest)), next_chunk).boxed();
        Some(Response::from_parts(head, Body::Stream(chunks)))
    }
}

struct Start {
    bytes: Bytes,
    whole: bool,
}

fn body_is_over(start: &Start) -> bool {
    start.whole
}

/// Reads a body up to its end, or until it is plain that it is large.
async fn read_start(body: &mut Incoming) -> Result<Start, hyper::Error> {
    let mut first = Bytes::new();
    let mut joined = BytesMut::new();
    loop {
        let Some(frame) = body.frame().await else {
            let bytes = if joined.is_empty() {
                first
            } else {
                joined.freeze()
            };
            return Ok(Start { bytes, whole: true });
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if first.is_empty() {
            first = data;
        } else {
            if joined.is_empty() {
                joined.extend_from_slice(&first);
            }
            joined.extend_from_slice(&data);
        }
        if first.len().max(joined.len()) > WHOLE_MAX_BYTES {
            let bytes = if joined.is_empty() {
                first
            } else {
                joined.freeze()
            };
            return Ok(Start {
                bytes,
                whole: false,
            });
        }
    }
}

type NextChunk = (Result<Bytes, BodyError>, Option<Box<PartRead>>);

async fn next_chunk(rest: Option<Box<PartRead>>) -> Option<NextChunk> {
    let mut rest = rest?;
    if !rest.read.is_empty() {
        return Some((Ok(std::mem::take(&mut rest.read)), Some(rest)));
    }
    loop {
        let frame = time::timeout_at(rest.ends_at, rest.body.frame()).await;
        match frame {
            Ok(None) => {
                rest.place.finish(rest.outcome);
                rest.connection.recycle(rest.keep);
                return None;
            }
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    return Some((Ok(data), Some(rest)));
                }
            }
            Ok(Some(Err(cause))) => {
                rest.place.finish(AttemptOutcome::Broken);
                return Some((Err(BodyError(cause.to_string())), None));
            }
            Err(_) => return Some((Err(BodyError("the time is over".to_owned())), None)),
        }
    }
}
