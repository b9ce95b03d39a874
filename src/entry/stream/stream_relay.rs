//! Relays the stream of a model engine to the caller and resumes it after a failure.

use {
    super::{ChunkBuffer, DropReason, EngineStream, EventDecision, StreamError, StreamValidator},
    crate::{
        admission::Permit,
        entry::{Entry, InferenceRequest, OpenRequestGuard, RunnerResponse, parse_load},
        http::{Body, BodyError, Problem},
    },
    bytes::Bytes,
    futures::stream,
    std::{sync::Arc, time::Duration},
    tokio::{task, time::Instant},
};

/// A streamed response on its way from a model engine to a caller.
pub(in crate::entry) struct StreamRelay {
    pub(super) entry: Arc<Entry>,
    pub(super) request: InferenceRequest,
    pub(super) validator: StreamValidator,
    pub(super) engine_stream: Option<EngineStream>,
    pub(super) phase: Phase,
    pub(super) resumptions_without_token: u32,
    first_token_at: Option<Instant>,
    last_token_at: Option<Instant>,
    permit: Permit,
    _open_request: OpenRequestGuard,
}

/// The next step of a relay.
pub(super) enum Phase {
    /// Reads and relays the next chunk.
    Relaying,
    /// The last event was relayed; the engine's connection can be reused.
    Finished,
    /// Sends an error event.
    Failed(Problem),
    /// Aborts the body after the error event.
    Aborting,
    /// The body has ended.
    Ended,
}

impl StreamRelay {
    /// Creates a relay of the stream in a runner's response.
    pub(in crate::entry) fn new(
        entry: Arc<Entry>,
        request: InferenceRequest,
        response: RunnerResponse,
        permit: Permit,
        open_request: OpenRequestGuard,
    ) -> Self {
        let engine_stream = EngineStream::new(response);
        let mut validator = StreamValidator::new(request.id, engine_stream.resumable);
        validator.set_tokens_per_event(engine_stream.tokens_per_event);
        Self {
            entry,
            request,
            validator,
            engine_stream: Some(engine_stream),
            phase: Phase::Relaying,
            resumptions_without_token: 0,
            first_token_at: None,
            last_token_at: None,
            permit,
            _open_request: open_request,
        }
    }

    /// Converts the relay into the response body for the caller.
    pub(in crate::entry) fn into_body(self) -> Body {
        let chunks = stream::unfold(Box::new(self), |mut relay| async move {
            let chunk = relay.next().await?;
            Some((chunk, relay))
        });
        Body::Stream(Box::pin(chunks))
    }

    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            match std::mem::replace(&mut self.phase, Phase::Relaying) {
                Phase::Relaying => {
                    if let Some(bytes) = self.relay_chunk().await {
                        return Some(Ok(bytes));
                    }
                }
                Phase::Finished => {
                    self.phase = Phase::Ended;
                    if let Some(engine_stream) = self.engine_stream.take() {
                        engine_stream.recycle().await;
                    }
                }
                Phase::Failed(problem) => {
                    self.phase = Phase::Aborting;
                    return Some(Ok(error_event(&problem)));
                }
                Phase::Aborting => {
                    self.phase = Phase::Ended;
                    // The connection flushes written bytes only while the body is pending.
                    task::yield_now().await;
                    let text = "the stream cannot be completed";
                    return Some(Err(BodyError(text.to_owned())));
                }
                Phase::Ended => {
                    self.phase = Phase::Ended;
                    return None;
                }
            }
        }
    }

    /// Reads one chunk and returns its validated events for the caller.
    async fn relay_chunk(&mut self) -> Option<Bytes> {
        let limit = self.silence_timeout();
        let read = match &mut self.engine_stream {
            Some(engine_stream) => engine_stream.read(limit).await,
            None => Err(StreamError::Cut("the engine's stream is closed".to_owned())),
        };
        let (bytes, error) = match read {
            Ok(chunk) => self.process_chunk(chunk),
            Err(error) => (Bytes::new(), Some(error)),
        };
        if !bytes.is_empty() {
            self.record_tokens();
        }
        if let Some(error) = error {
            self.resume(error).await;
        }
        (!bytes.is_empty()).then_some(bytes)
    }

    fn silence_timeout(&self) -> Duration {
        let settings = &self.entry.settings;
        Duration::from_millis(match self.validator.delivered() {
            0 => settings.first_token_timeout_ms,
            _ => settings.between_tokens_timeout_ms,
        })
    }

    fn process_chunk(&mut self, chunk: Bytes) -> (Bytes, Option<StreamError>) {
        let Some(engine_stream) = &mut self.engine_stream else {
            return (Bytes::new(), None);
        };
        if let Err(cause) = engine_stream.parser.push(chunk) {
            return (Bytes::new(), Some(StreamError::Cut(cause.to_string())));
        }
        let mut accepted = ChunkBuffer::default();
        while let Some(event) = engine_stream.parser.next_event() {
            if let Some(comment) = &event.comment {
                record_load(&self.entry, engine_stream, comment);
            }
            match self.validator.check(&event) {
                EventDecision::Comment => engine_stream.last_activity_at = Instant::now(),
                EventDecision::Drop(reason) => count_dropped_event(reason),
                EventDecision::Break(reason) => {
                    return (accepted.finish(), Some(StreamError::Invalid(reason)));
                }
                EventDecision::Deliver => {
                    engine_stream.last_activity_at = Instant::now();
                    accepted.push(event.raw);
                }
                EventDecision::End => {
                    accepted.push(event.raw);
                    self.phase = Phase::Finished;
                    break;
                }
            }
        }
        (accepted.finish(), None)
    }

    fn record_tokens(&mut self) {
        let now = Instant::now();
        match self.last_token_at {
            None => {
                self.first_token_at = Some(now);
                self.record_first_token_time(now);
            }
            Some(last) => self.entry.metrics.between_tokens.record(now - last),
        }
        self.last_token_at = Some(now);
        self.resumptions_without_token = 0;
    }

    fn record_first_token_time(&self, now: Instant) {
        let waited = now - self.request.arrived;
        self.entry.metrics.first_token.record(waited);
        let targets = &self.request.class.targets;
        self.permit.record_first_token(targets, now);
        if waited > targets.first_token_target() {
            self.entry
                .update_demand(&self.request, |demand| demand.late += 1);
        }
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        let tokens = self.validator.delivered();
        if let (Some(first), Some(last)) = (self.first_token_at, self.last_token_at)
            && tokens > 1
        {
            let gap = (last - first) / (tokens - 1) as u32;
            let targets = &self.request.class.targets;
            self.permit.record_token_gap(targets, gap, last);
        }
        self.entry
            .update_demand(&self.request, |demand| demand.tokens += tokens as u32);
    }
}

fn record_load(entry: &Entry, engine_stream: &EngineStream, comment: &[u8]) {
    let text = std::str::from_utf8(comment).unwrap_or_default();
    let load = text.strip_prefix("load ").and_then(parse_load);
    if let Some(load) = load {
        let runner = engine_stream.in_flight.runner();
        entry
            .load_tracker
            .record_report(runner, load, Instant::now());
    }
}

fn count_dropped_event(reason: DropReason) {
    let reason = match reason {
        DropReason::Foreign => "foreign",
        DropReason::Duplicate => "duplicate",
    };
    metrics::counter!("ggt_events_dropped_total", "reason" => reason).increment(1);
}

fn error_event(problem: &Problem) -> Bytes {
    format!(
        "event: error\ndata: {{\"error\":{}}}\n\n",
        problem.to_json()
    )
    .into()
}
