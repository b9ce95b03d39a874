//! Responses that are not event streams.

use {
    super::{
        Call, Cutoff, KeepAlive, RunnerConnection, RunnerResponse, SentAssignment, response_head,
    },
    crate::{
        dispatch::AttemptOutcome,
        http::{Body, BodyError},
        request_memory::{Holder, MemoryShare, hold},
    },
    bytes::Bytes,
    futures::{StreamExt, stream},
    http_body_util::BodyExt,
    hyper::{Method, Response, body::Incoming},
    tokio_util::sync::CancellationToken,
};

/// The largest body that is read completely before the head is forwarded, in bytes.
const BUFFERED_BODY_MAX_BYTES: usize = 256 * 1024;

/// A large body of which the start is read.
struct PartialBody {
    start: Bytes,
    /// What follows the start.
    next: Bytes,
    body: Incoming,
    assignment: SentAssignment,
    connection: RunnerConnection,
    keep_alive: KeepAlive,
    cutoff: Cutoff,
    outcome: AttemptOutcome,
}

impl RunnerResponse {
    /// Forwards the response, a small one after all of it arrived.
    ///
    /// Returns `None` if the runner's connection fails before anything was forwarded.
    pub(super) async fn into_plain(
        self,
        call: &Call,
        end_requests: &CancellationToken,
        outcome: AttemptOutcome,
    ) -> Option<Response<Body>> {
        let (mut head, mut body) = response_head::split(self.response);
        let memory = self.connection.pool.memory.share(Holder::Response);
        let start = match read_start(&mut body, memory).await {
            Ok(start) => start,
            Err(cause) => {
                let runner = &self.assignment.runner.key.id;
                log::debug!("relay: the response of runner {runner} failed: {cause}");
                self.assignment.finish(AttemptOutcome::Broken);
                return None;
            }
        };
        let Some(next) = start.next else {
            self.assignment.finish(outcome);
            self.connection.recycle(self.keep_alive);
            if call.method != Method::HEAD {
                response_head::remove_length(&mut head);
            }
            return Some(Response::from_parts(head, Body::from(start.bytes)));
        };
        let rest = PartialBody {
            start: start.bytes,
            next,
            body,
            assignment: self.assignment,
            connection: self.connection,
            keep_alive: self.keep_alive,
            cutoff: Cutoff::new(end_requests, call.deadline),
            outcome,
        };
        let chunks = stream::unfold(Some(Box::new(rest)), next_chunk).boxed();
        Some(Response::from_parts(head, Body::Stream(chunks)))
    }
}

/// The begin of a body.
struct BodyStart {
    bytes: Bytes,
    /// What follows and was not joined; `None` if the body is complete.
    next: Option<Bytes>,
}

impl BodyStart {
    /// Creates a begin that is in one part or joined of several.
    fn new(first: Bytes, joined: Vec<u8>, memory: MemoryShare, next: Option<Bytes>) -> Self {
        let bytes = match joined.is_empty() {
            true => first,
            false => hold(joined, memory),
        };
        Self { bytes, next }
    }
}

/// Reads a body up to its end, or until it is larger than [`BUFFERED_BODY_MAX_BYTES`] or than the
/// memory for it, which is held until the caller has taken the bytes.
async fn read_start(
    body: &mut Incoming,
    mut memory: MemoryShare,
) -> Result<BodyStart, hyper::Error> {
    let mut first = Bytes::new();
    let mut joined = Vec::new();
    loop {
        let Some(frame) = body.frame().await else {
            return Ok(BodyStart::new(first, joined, memory, None));
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if first.is_empty() && joined.is_empty() {
            first = data;
            continue;
        }
        let needed_bytes = first.len() + joined.len() + data.len();
        let grown_bytes = needed_bytes.max(2 * joined.capacity());
        let is_grown = needed_bytes > joined.capacity();
        if needed_bytes > BUFFERED_BODY_MAX_BYTES || (is_grown && !memory.try_resize(grown_bytes)) {
            return Ok(BodyStart::new(first, joined, memory, Some(data)));
        }
        if is_grown {
            joined.reserve_exact(grown_bytes - joined.len());
        }
        joined.extend_from_slice(&std::mem::take(&mut first));
        joined.extend_from_slice(&data);
    }
}

type NextChunk = (Result<Bytes, BodyError>, Option<Box<PartialBody>>);

async fn next_chunk(rest: Option<Box<PartialBody>>) -> Option<NextChunk> {
    let mut rest = rest?;
    if !rest.start.is_empty() {
        return Some((Ok(std::mem::take(&mut rest.start)), Some(rest)));
    }
    if !rest.next.is_empty() {
        return Some((Ok(std::mem::take(&mut rest.next)), Some(rest)));
    }
    loop {
        match rest.cutoff.next(rest.body.frame()).await {
            Ok(None) => {
                rest.assignment.finish(rest.outcome);
                rest.connection.recycle(rest.keep_alive);
                return None;
            }
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    return Some((Ok(data), Some(rest)));
                }
            }
            Ok(Some(Err(cause))) => {
                rest.assignment.finish(AttemptOutcome::Broken);
                return Some((Err(BodyError(cause.to_string())), None));
            }
            Err(reason) => return Some((Err(BodyError(reason)), None)),
        }
    }
}
