//! Responses that are not event streams.

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

/// The largest body that is read completely before the head is forwarded, in bytes.
const WHOLE_MAX_BYTES: usize = 256 * 1024;

/// A large body of which the start is read.
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
    /// Forwards the response, a small one after all of it arrived.
    ///
    /// Returns `None` if the runner's connection fails before anything was forwarded.
    pub(super) async fn into_plain(
        self,
        call: &Call,
        outcome: AttemptOutcome,
    ) -> Option<Response<Body>> {
        let (mut head, mut body) = answer::split(self.response);
        let read = match read_start(&mut body).await {
            Ok(read) => read,
            Err(cause) => {
                let runner = &self.place.runner.key.id;
                log::debug!("relay: the response of runner {runner} failed: {cause}");
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

/// Reads a body up to its end, or until it is larger than [`WHOLE_MAX_BYTES`].
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
            Err(_) => return Some((Err(BodyError("the deadline passed".to_owned())), None)),
        }
    }
}
