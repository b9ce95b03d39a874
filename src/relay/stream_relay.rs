//! Streams of events, passed on as they come.

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

/// The pause before a place is asked for again, while the caller still waits for the next event.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// A stream at one runner.
#[derive(Debug)]
pub(super) struct LiveStream {
    place: SentPlace,
    connection: RunnerConnection,
    keep: Keep,
    body: Incoming,
    splitter: EventSplitter,
    /// Events that were read and not passed on yet.
    ready: Bytes,
    /// Why nothing may be read after them.
    fault: Option<String>,
}

/// A stream towards a caller, over all runners that it takes.
struct CallerStream {
    run: Run,
    live: Option<LiveStream>,
    last_id: Option<u64>,
    /// Ends the stream early, and says why.
    cut: BoxFuture<'static, &'static str>,
}

impl Answered {
    /// Waits for the first event; `None` if the stream breaks off before it.
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
    /// Reads until there are whole events to pass on; returns `false` at the proper end.
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
                    return Err("the last event is cut".to_owned());
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
        log::debug!("relay: {} broke off: {cause}", self.place.runner.key.id);
        self.place.finish(AttemptOutcome::Broken);
    }
}

/// Makes the response whose body is the stream.
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

/// Waits until a stream must end, and returns why.
async fn cut(closing: CancellationToken, ends_at: Instant) -> &'static str {
    tokio::select! {
        () = time::sleep_until(ends_at) => "the time is over",
        () = closing.cancelled() => "the node stops",
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

/// Returns the next events, from another runner if need be; `None` at the end.
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

/// Goes on at another runner after the last event that was passed on.
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
            Err(_) => return Err("no other runner goes on with the stream".to_owned()),
        }
    }
}
