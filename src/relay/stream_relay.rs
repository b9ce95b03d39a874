//! Event streams, forwarded as the events arrive and resumed at another runner after a failure.

use {
    super::{
        Answer, Answered, Call, EventSplitter, Keep, Run, RunnerConnection, SentPlace, Tried,
        answer,
    },
    crate::{
        dispatch::AttemptOutcome,
        http::{Body, BodyError},
    },
    bytes::Bytes,
    futures::{FutureExt, StreamExt, future::BoxFuture, stream},
    http_body_util::BodyExt,
    hyper::{Response, body::Incoming},
    std::time::Duration,
    tokio::time::{self, Instant},
    tokio_util::sync::CancellationToken,
};

/// The delay before the next attempt to resume a stream, while the caller waits for an event.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// An event stream from one runner.
#[derive(Debug)]
pub(super) struct LiveStream {
    place: SentPlace,
    connection: RunnerConnection,
    keep: Keep,
    body: Incoming,
    splitter: EventSplitter,
    /// Complete events that are not forwarded yet.
    ready: Bytes,
    /// The error after these events.
    fault: Option<String>,
}

/// An event stream to a caller, from one runner after another.
struct CallerStream {
    run: Run,
    live: Option<LiveStream>,
    last_id: Option<u64>,
    /// Completes when the stream must end, with the reason.
    cut: BoxFuture<'static, &'static str>,
}

impl Answered {
    /// Waits for the first event; returns `None` if the stream fails before.
    pub(super) async fn into_stream(self, call: &Call) -> Option<Answer> {
        let (head, mut live) = self.split_stream(call.resumes_after());
        match live.read().await {
            Ok(true) => {
                live.place.heard(call.patience());
                Some(Answer::Stream(head, Box::new(live)))
            }
            Ok(false) => {
                live.complete();
                let (head, ()) = head.into_parts();
                Some(Answer::Plain(Response::from_parts(head, Body::empty())))
            }
            Err(cause) => {
                live.broken(&cause);
                None
            }
        }
    }

    fn split_stream(self, last_id: Option<u64>) -> (Response<()>, LiveStream) {
        let (mut head, body) = answer::split(self.response);
        answer::remove_length(&mut head);
        let live = LiveStream {
            place: self.place,
            connection: self.connection,
            keep: self.keep,
            body,
            splitter: EventSplitter::after(last_id),
            ready: Bytes::new(),
            fault: None,
        };
        (Response::from_parts(head, ()), live)
    }
}

impl LiveStream {
    /// Reads until complete events are ready; returns `false` at the regular end of the stream.
    async fn read(&mut self) -> Result<bool, String> {
        loop {
            if !self.ready.is_empty() {
                return Ok(true);
            }
            if let Some(fault) = self.fault.take() {
                return Err(fault);
            }
            match self.body.frame().await {
                None if self.splitter.has_rest() => {
                    return Err("the stream ended within an event".to_owned());
                }
                None => return Ok(false),
                Some(Err(cause)) => return Err(cause.to_string()),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        let (whole, fault) = self.splitter.push(data);
                        self.ready = whole;
                        self.fault = fault.map(|fault| fault.to_string());
                    }
                }
            }
        }
    }

    fn complete(self) {
        self.place.finish(AttemptOutcome::Complete);
        self.connection.recycle(self.keep);
    }

    fn broken(self, cause: &str) {
        let runner = &self.place.runner.key.id;
        log::debug!("relay: the stream of runner {runner} failed: {cause}");
        self.place.finish(AttemptOutcome::Broken);
    }
}

/// Returns the response whose body is the stream.
pub(super) fn stream_response(
    mut run: Run,
    head: Response<()>,
    live: LiveStream,
) -> Response<Body> {
    let cut = cut(run.relay.closing.clone(), run.call.ends_at).boxed();
    if !run.call.is_repeatable() {
        run.call.forget_request();
    }
    let state = CallerStream {
        run,
        last_id: None,
        live: Some(live),
        cut,
    };
    let events = stream::unfold(Some(Box::new(state)), next_events).boxed();
    head.map(|()| Body::Stream(events))
}

/// Waits until a stream must end, and returns the reason.
async fn cut(closing: CancellationToken, ends_at: Instant) -> &'static str {
    tokio::select! {
        () = time::sleep_until(ends_at) => "the deadline passed",
        () = closing.cancelled() => "the node is stopping",
    }
}

type NextEvents = (Result<Bytes, BodyError>, Option<Box<CallerStream>>);

async fn next_events(state: Option<Box<CallerStream>>) -> Option<NextEvents> {
    let mut state = state?;
    let CallerStream {
        run,
        live,
        last_id,
        cut,
    } = &mut *state;
    let next = tokio::select! {
        biased;
        next = next_or_resume(run, live, last_id) => next,
        cause = cut => Err(cause.to_owned()),
    };
    match next {
        Ok(Some(events)) => Some((Ok(events), Some(state))),
        Ok(None) => None,
        Err(cause) => {
            state.run.relay.counts.streams_lost.count();
            Some((Err(BodyError(cause)), None))
        }
    }
}

/// Returns the next events, from another runner if the stream fails; `None` at the end.
async fn next_or_resume(
    run: &mut Run,
    live: &mut Option<LiveStream>,
    last_id: &mut Option<u64>,
) -> Result<Option<Bytes>, String> {
    loop {
        let stream = match live {
            Some(stream) => stream,
            None => live.insert(resume(run, *last_id).await?),
        };
        match stream.read().await {
            Ok(true) => {
                stream.place.heard(run.call.patience());
                *last_id = stream.splitter.last_id();
                return Ok(Some(std::mem::take(&mut stream.ready)));
            }
            Ok(false) => {
                if let Some(ended) = live.take() {
                    ended.complete();
                }
                return Ok(None);
            }
            Err(cause) => {
                if let Some(ended) = live.take() {
                    ended.broken(&cause);
                }
                if !run.call.is_repeatable() || last_id.is_none() {
                    return Err(cause);
                }
            }
        }
    }
}

/// Resumes the stream at another runner after the last forwarded event.
async fn resume(run: &mut Run, last_id: Option<u64>) -> Result<LiveStream, String> {
    run.call.wait_anew();
    loop {
        match run.attempt(last_id).await {
            Ok(Tried::Nothing) => {}
            Ok(Tried::Failure(answered)) => answered.discard(AttemptOutcome::Failed).await,
            Ok(Tried::Success(answered)) => {
                run.relay.counts.streams_resumed.count();
                return Ok(answered.split_stream(last_id).1);
            }
            Err(_) if run.may_wait() => time::sleep(RESUME_PAUSE).await,
            Err(_) => return Err("no other runner could resume the stream".to_owned()),
        }
    }
}
