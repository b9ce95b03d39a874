//! Relays the stream of a model engine and resumes it where it breaks.

use {
    super::{
        Attempt, Attempts, BreakReason, Call, Dispatched, DropReason, Entry, Idempotent,
        InferenceRequest, OpenRequest, SseParser, StreamCheck, Verdict, parse_load,
    },
    crate::{
        admission::Permit,
        http::{
            Body, BodyError, Connection, Outcome, Problem, RESUMABLE, TOKENS_PER_EVENT, has_header,
        },
        routing::InFlight,
    },
    bytes::{Bytes, BytesMut},
    futures::stream,
    http_body_util::BodyExt,
    hyper::{StatusCode, body::Incoming, header},
    rand::RngExt,
    std::{sync::Arc, time::Duration},
    tokio::{
        task,
        time::{self, Instant},
    },
};

/// The most resumptions of a stream without a new token between them.
const FRUITLESS_RESUMPTIONS_MAX: u32 = 3;

/// The longest wait before the first resumption; it grows with each fruitless one.
const RESUME_PAUSE_MAX: Duration = Duration::from_millis(20);

/// The longest wait for the end of a body whose last event was read.
const END_TIMEOUT: Duration = Duration::from_millis(100);

/// An answer on its way from a model engine to a caller.
pub(super) struct Relay {
    entry: Arc<Entry>,
    request: InferenceRequest,
    check: StreamCheck,
    source: Option<Source>,
    phase: Phase,
    fruitless: u32,
    first_token_at: Option<Instant>,
    last_token_at: Option<Instant>,
    permit: Permit,
    _open: OpenRequest,
}

/// The stream that is being read.
struct Source {
    call: Call<Dispatched>,
    body: Incoming,
    connection: Connection,
    in_flight: InFlight,
    parser: SseParser,
    alive_at: Instant,
    resumable: bool,
    tokens_per_event: u64,
}

enum Phase {
    Relaying,
    Finished,
    Failed(Problem),
    Aborting,
    Ended,
}

/// Why a stream must be resumed.
#[derive(Debug)]
enum Fault {
    Cut(String),
    Silent,
    Broken(BreakReason),
}

impl Relay {
    pub(super) fn new(
        entry: Arc<Entry>,
        request: InferenceRequest,
        attempt: Attempt,
        permit: Permit,
        open: OpenRequest,
    ) -> Self {
        let source = Source::new(attempt);
        let mut check = StreamCheck::new(request.id, source.resumable);
        check.set_tokens_per_event(source.tokens_per_event);
        Self {
            entry,
            request,
            check,
            source: Some(source),
            phase: Phase::Relaying,
            fruitless: 0,
            first_token_at: None,
            last_token_at: None,
            permit,
            _open: open,
        }
    }

    /// Turns the relay into a body for the caller.
    pub(super) fn into_body(self) -> Body {
        let chunks = stream::unfold(self, |mut relay| async move {
            let chunk = relay.next().await?;
            Some((chunk, relay))
        });
        Body::Stream(Box::pin(chunks))
    }

    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            match std::mem::replace(&mut self.phase, Phase::Relaying) {
                Phase::Relaying => {
                    if let Some(bytes) = self.relay().await {
                        return Some(Ok(bytes));
                    }
                }
                Phase::Finished => {
                    self.phase = Phase::Ended;
                    self.recycle().await;
                }
                Phase::Failed(problem) => {
                    self.phase = Phase::Aborting;
                    return Some(Ok(error_event(&problem)));
                }
                Phase::Aborting => {
                    self.phase = Phase::Ended;
                    // The connection flushes what it has only while the body is pending.
                    task::yield_now().await;
                    let text = "the answer cannot be completed";
                    return Some(Err(BodyError(text.to_owned())));
                }
                Phase::Ended => {
                    self.phase = Phase::Ended;
                    return None;
                }
            }
        }
    }

    /// Reads one chunk and returns what of it goes to the caller.
    async fn relay(&mut self) -> Option<Bytes> {
        let limit = self.silence_limit();
        let read = match &mut self.source {
            Some(source) => source.read(limit).await,
            None => Err(Fault::Cut("there is no stream".to_owned())),
        };
        let (bytes, fault) = match read {
            Ok(chunk) => self.accept(chunk),
            Err(fault) => (Bytes::new(), Some(fault)),
        };
        if !bytes.is_empty() {
            self.note_tokens();
        }
        if let Some(fault) = fault {
            self.resume(fault).await;
        }
        (!bytes.is_empty()).then_some(bytes)
    }

    fn silence_limit(&self) -> Duration {
        let settings = &self.entry.settings;
        Duration::from_millis(match self.check.delivered() {
            0 => settings.first_token_timeout_ms,
            _ => settings.between_tokens_timeout_ms,
        })
    }

    fn accept(&mut self, chunk: Bytes) -> (Bytes, Option<Fault>) {
        let Some(source) = &mut self.source else {
            return (Bytes::new(), None);
        };
        if let Err(cause) = source.parser.push(chunk) {
            return (Bytes::new(), Some(Fault::Cut(cause.to_string())));
        }
        let mut accepted = Joined::default();
        while let Some(event) = source.parser.next_event() {
            if let Some(comment) = &event.comment {
                note_load(&self.entry, source, comment);
            }
            match self.check.judge(&event) {
                Verdict::Comment => source.alive_at = Instant::now(),
                Verdict::Drop(reason) => count_drop(reason),
                Verdict::Break(reason) => return (accepted.finish(), Some(Fault::Broken(reason))),
                Verdict::Deliver => {
                    source.alive_at = Instant::now();
                    accepted.push(event.raw);
                }
                Verdict::End => {
                    accepted.push(event.raw);
                    self.phase = Phase::Finished;
                    break;
                }
            }
        }
        (accepted.finish(), None)
    }

    fn note_tokens(&mut self) {
        let now = Instant::now();
        match self.last_token_at {
            None => {
                self.first_token_at = Some(now);
                self.note_first_token(now);
            }
            Some(last) => self.entry.metrics.between_tokens.record(now - last),
        }
        self.last_token_at = Some(now);
        self.fruitless = 0;
    }

    fn note_first_token(&self, now: Instant) {
        let waited = now - self.request.arrived;
        self.entry.metrics.first_token.record(waited);
        let targets = &self.request.class.targets;
        self.permit.record_first_token(targets, now);
        if waited > targets.first_token_target() {
            self.entry.count(&self.request, |demand| demand.late += 1);
        }
    }

    /// Retires the connection and asks for the rest of the answer on another one.
    async fn resume(&mut self, fault: Fault) {
        let Some(source) = self.source.take() else {
            return;
        };
        let runner = source.in_flight.runner().clone();
        log::debug!(
            "entry: stream {} broke at {runner}: {fault:?}",
            self.request.id
        );
        metrics::counter!("ggt_stream_breaks_total").increment(1);
        if matches!(fault, Fault::Silent) {
            self.entry.suspect(&runner);
            self.entry.client.close_idle(source.connection.address());
        }
        let call = source.call;
        drop(source.connection);
        let resumable = self.check.is_numbered() && source.resumable;
        self.fruitless += 1;
        if self.fruitless > FRUITLESS_RESUMPTIONS_MAX || (self.check.delivered() > 0 && !resumable)
        {
            self.fail(call.problem(StatusCode::BAD_GATEWAY, "stream-lost", fault.to_string()));
            return;
        }
        time::sleep(resume_pause(self.fruitless)).await;
        let after = (self.check.delivered() > 0).then(|| self.check.last_event_id());
        let mut attempts = Attempts::new(&self.entry, &self.request);
        attempts.avoid(runner);
        let resumed = attempts
            .run(call.repeat(Idempotent::inference()), after)
            .await;
        match resumed {
            Ok(attempt) => self.go_on(attempt),
            Err(problem) => self.fail(problem),
        }
    }

    fn go_on(&mut self, attempt: Attempt) {
        let status = attempt.exchange.response.status();
        let source = Source::new(attempt);
        if status != StatusCode::OK || (self.check.delivered() > 0 && !source.resumable) {
            let detail = "the stream cannot be resumed";
            let problem = source
                .call
                .problem(StatusCode::BAD_GATEWAY, "stream-lost", detail);
            self.fail(problem);
            return;
        }
        if source.resumable {
            self.check.require_ids();
        }
        self.check.set_tokens_per_event(source.tokens_per_event);
        self.source = Some(source);
    }

    fn fail(&mut self, problem: Problem) {
        metrics::counter!("ggt_streams_lost_total").increment(1);
        self.phase = Phase::Failed(Problem {
            outcome: Outcome::Unknown,
            ..problem
        });
    }

    /// Keeps the connection for later if the engine ended the body properly.
    async fn recycle(&mut self) {
        let Some(mut source) = self.source.take() else {
            return;
        };
        let end = time::timeout(END_TIMEOUT, source.body.frame()).await;
        if matches!(end, Ok(None)) {
            source.connection.recycle();
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let tokens = self.check.delivered();
        if let (Some(first), Some(last)) = (self.first_token_at, self.last_token_at)
            && tokens > 1
        {
            let gap = (last - first) / (tokens - 1) as u32;
            let targets = &self.request.class.targets;
            self.permit.record_token_gap(targets, gap, last);
        }
        self.entry
            .count(&self.request, |demand| demand.tokens += tokens as u32);
    }
}

impl Source {
    fn new(attempt: Attempt) -> Self {
        let headers = attempt.exchange.response.headers();
        let resumable = has_header(headers, RESUMABLE, "yes");
        let tokens_per_event = headers
            .get(TOKENS_PER_EVENT)
            .and_then(|text| text.to_str().ok());
        let tokens_per_event = tokens_per_event.and_then(|text| text.parse().ok());
        Self {
            call: attempt.call,
            body: attempt.exchange.response.into_body(),
            connection: attempt.exchange.connection,
            in_flight: attempt.in_flight,
            parser: SseParser::default(),
            alive_at: Instant::now(),
            resumable,
            tokens_per_event: tokens_per_event.unwrap_or(1),
        }
    }

    async fn read(&mut self, silence_limit: Duration) -> Result<Bytes, Fault> {
        loop {
            let frame = time::timeout_at(self.alive_at + silence_limit, self.body.frame()).await;
            match frame {
                Err(_) => return Err(Fault::Silent),
                Ok(None) => return Err(Fault::Cut("the stream ended early".to_owned())),
                Ok(Some(Err(cause))) => return Err(Fault::Cut(cause.to_string())),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(data);
                    }
                }
            }
        }
    }
}

fn note_load(entry: &Entry, source: &Source, comment: &[u8]) {
    let text = std::str::from_utf8(comment).unwrap_or_default();
    let load = text.strip_prefix("load ").and_then(parse_load);
    if let Some(load) = load {
        let runner = source.in_flight.runner();
        entry.board.record_report(runner, load, Instant::now());
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Cut(cause) => write!(f, "the stream was cut: {cause}"),
            Self::Silent => f.write_str("the stream went silent"),
            Self::Broken(reason) => write!(f, "the stream is broken: {reason:?}"),
        }
    }
}

/// Joins chunks, without a copy when there is only one.
#[derive(Default)]
struct Joined {
    first: Bytes,
    joined: BytesMut,
}

impl Joined {
    fn push(&mut self, chunk: Bytes) {
        if self.first.is_empty() {
            self.first = chunk;
            return;
        }
        if self.joined.is_empty() {
            self.joined.extend_from_slice(&self.first);
        }
        self.joined.extend_from_slice(&chunk);
    }

    fn finish(self) -> Bytes {
        match self.joined.is_empty() {
            true => self.first,
            false => self.joined.freeze(),
        }
    }
}

/// Draws the wait before a resumption.
fn resume_pause(fruitless: u32) -> Duration {
    let longest = RESUME_PAUSE_MAX * fruitless;
    longest.mul_f64(rand::rng().random())
}

fn count_drop(reason: DropReason) {
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

/// Returns whether a response is an event stream.
pub(super) fn is_event_stream(attempt: &Attempt) -> bool {
    let headers = attempt.exchange.response.headers();
    let kind = headers.get(header::CONTENT_TYPE);
    attempt.exchange.response.status() == StatusCode::OK
        && kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}
