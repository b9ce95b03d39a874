//! Event streams, forwarded as the events arrive and resumed at another runner after a failure.

use {
    super::{
        AttemptResult, Call, CallerResponse, Cutoff, EventSplitter, ForwardedCall, KeepAlive,
        RunnerConnection, RunnerResponse, SentAssignment, response_head,
    },
    crate::{
        discovery::RunnerEntry,
        dispatch::AttemptOutcome,
        http::{Body, BodyError},
        request_memory::Holder,
    },
    bytes::Bytes,
    futures::{StreamExt, stream},
    http_body_util::BodyExt,
    hyper::{Response, body::Incoming},
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// The delay before the next attempt to resume a stream, while the caller waits for an event.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An event stream from one runner.
#[derive(Debug)]
pub(super) struct RunnerStream {
    assignment: SentAssignment,
    connection: RunnerConnection,
    keep_alive: KeepAlive,
    body: Incoming,
    splitter: EventSplitter,
    ends_with_connection: bool,
    has_events: bool,
    /// Complete events that are not forwarded yet.
    ready: Bytes,
    /// The error after these events.
    error: Option<String>,
}

/// An event stream to a caller, from one runner after another.
struct CallerStream {
    forwarded: ForwardedCall,
    live: Option<RunnerStream>,
    /// The runner that sent the last forwarded event.
    runner: Arc<RunnerEntry>,
    last_id: Option<u64>,
    cutoff: Cutoff,
}

impl RunnerResponse {
    /// Waits for the first event; returns `None` if the stream fails before.
    pub(super) async fn into_stream(self, call: &Call) -> Option<CallerResponse> {
        let (head, mut live) = self.split_stream(call.resume_after_id());
        match live.read().await {
            Ok(true) => {
                live.assignment.record_progress(call.remaining_wait());
                Some(CallerResponse::Stream(head, Box::new(live)))
            }
            Ok(false) => {
                live.finish_complete();
                let (head, ()) = head.into_parts();
                Some(CallerResponse::Plain(Response::from_parts(
                    head,
                    Body::empty(),
                )))
            }
            Err(cause) => {
                live.finish_broken(&cause);
                None
            }
        }
    }

    fn split_stream(self, last_id: Option<u64>) -> (Response<()>, RunnerStream) {
        let ends_with_connection = response_head::ends_with_connection(&self.response);
        let (mut head, body) = response_head::split(self.response);
        response_head::remove_length(&mut head);
        let memory = self.connection.pool.memory.share(Holder::Response);
        let live = RunnerStream {
            assignment: self.assignment,
            connection: self.connection,
            keep_alive: self.keep_alive,
            body,
            splitter: EventSplitter::resume_after(last_id).with_memory(memory),
            ends_with_connection,
            has_events: false,
            ready: Bytes::new(),
            error: None,
        };
        (Response::from_parts(head, ()), live)
    }
}

impl RunnerStream {
    /// Reads until complete events are ready; returns `false` at the regular end of the stream.
    async fn read(&mut self) -> Result<bool, String> {
        loop {
            if !self.ready.is_empty() {
                return Ok(true);
            }
            if let Some(error) = self.error.take() {
                return Err(error);
            }
            match self.body.frame().await {
                None if self.splitter.has_partial_event() => {
                    return Err("the stream ended within an event".to_owned());
                }
                // A runner that ended may have closed the connection.
                None if self.ends_with_connection && !self.has_events => {
                    return Err("the stream ended before its first event".to_owned());
                }
                None => return Ok(false),
                Some(Err(cause)) => return Err(cause.to_string()),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        let (complete, error) = self.splitter.push(data);
                        self.has_events |= !complete.is_empty();
                        self.ready = complete;
                        self.error = error.map(|error| error.to_string());
                    }
                }
            }
        }
    }

    fn finish_complete(self) {
        self.assignment.finish(AttemptOutcome::Complete);
        self.connection.recycle(self.keep_alive);
    }

    fn finish_broken(self, cause: &str) {
        let runner = &self.assignment.runner.key.id;
        log::debug!("relay: the stream of runner {runner} failed: {cause}");
        self.assignment.finish(AttemptOutcome::Broken);
    }
}

/// Returns the response whose body is the stream.
pub(super) fn stream_response(
    mut forwarded: ForwardedCall,
    head: Response<()>,
    live: RunnerStream,
) -> Response<Body> {
    let cutoff = Cutoff::new(&forwarded.relay.end_requests, forwarded.call.deadline);
    if !forwarded.call.is_retryable() {
        forwarded.call.free_request();
    }
    forwarded.record_begin(&live.assignment.runner.software);
    let state = CallerStream {
        forwarded,
        runner: live.assignment.runner.clone(),
        last_id: None,
        live: Some(live),
        cutoff,
    };
    let events = stream::unfold(Some(Box::new(state)), next_events).boxed();
    head.map(|()| Body::Stream(events))
}

type NextEvents = (Result<Bytes, BodyError>, Option<Box<CallerStream>>);

async fn next_events(state: Option<Box<CallerStream>>) -> Option<NextEvents> {
    let mut state = state?;
    let CallerStream {
        forwarded,
        live,
        runner,
        last_id,
        cutoff,
    } = &mut *state;
    let next = cutoff.next(next_or_resume(forwarded, live, runner, last_id));
    match next.await.flatten() {
        Ok(Some(events)) => Some((Ok(events), Some(state))),
        Ok(None) => None,
        Err(cause) => {
            state.forwarded.relay.counters.streams_lost.count();
            Some((Err(BodyError(cause)), None))
        }
    }
}

/// Returns the next events, from another runner if the stream fails; `None` at the end.
async fn next_or_resume(
    forwarded: &mut ForwardedCall,
    live: &mut Option<RunnerStream>,
    runner: &mut Arc<RunnerEntry>,
    last_id: &mut Option<u64>,
) -> Result<Option<Bytes>, String> {
    loop {
        let stream = match live {
            Some(stream) => stream,
            None => {
                let resumed = resume(forwarded, *last_id).await?;
                log_resume(forwarded, runner, &resumed.assignment.runner);
                *runner = resumed.assignment.runner.clone();
                live.insert(resumed)
            }
        };
        match stream.read().await {
            Ok(true) => {
                stream
                    .assignment
                    .record_progress(forwarded.call.remaining_wait());
                *last_id = stream.splitter.last_id();
                return Ok(Some(std::mem::take(&mut stream.ready)));
            }
            Ok(false) => {
                if let Some(ended) = live.take() {
                    ended.finish_complete();
                }
                let call = &forwarded.call;
                let usual_times = &forwarded.relay.usual_times;
                usual_times.record(&call.rules.service, call.arrived_at.elapsed());
                return Ok(None);
            }
            Err(cause) => {
                if let Some(ended) = live.take() {
                    let runner = ended.assignment.runner.clone();
                    ended.finish_broken(&cause);
                    forwarded.relay.probe_end(&runner);
                }
                if !forwarded.call.is_retryable() || last_id.is_none() {
                    return Err(cause);
                }
            }
        }
    }
}

fn log_resume(forwarded: &ForwardedCall, from: &RunnerEntry, to: &RunnerEntry) {
    log::info!(
        request_id:% = String::from_utf8_lossy(&forwarded.call.head.request_id),
        from:% = from.key.id,
        from_software:% = from.software,
        to:% = to.key.id,
        to_software:% = to.software;
        "relay: a stream goes on at another runner."
    );
}

/// Resumes the stream at another runner after the last forwarded event.
async fn resume(
    forwarded: &mut ForwardedCall,
    last_id: Option<u64>,
) -> Result<RunnerStream, String> {
    forwarded.call.restart_wait();
    loop {
        match forwarded.attempt(last_id).await {
            Ok(AttemptResult::NoResponse) => {}
            Ok(AttemptResult::Failure(runner_response)) => {
                runner_response.discard(AttemptOutcome::Failed).await
            }
            Ok(AttemptResult::Success(runner_response)) => {
                forwarded.relay.counters.streams_resumed.count();
                return Ok(runner_response.split_stream(last_id).1);
            }
            Err(_) if forwarded.may_retry() => time::sleep(RESUME_RETRY_DELAY).await,
            Err(_) => return Err("no other runner could resume the stream".to_owned()),
        }
    }
}
