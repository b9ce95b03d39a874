//! One stream of a model engine over one connection.

use {
    super::{BreakReason, SseParser},
    crate::{
        entry::{Call, Dispatched, RunnerResponse},
        http::{Connection, RESUMABLE, TOKENS_PER_EVENT, has_header},
        routing::InFlightGuard,
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{fmt, pin::Pin, time::Duration},
    tokio::time::{self, Instant, Sleep},
};

/// The initial duration of a silence timer, which is shortened when the stream is read.
const SILENCE_TIMER_INITIAL: Duration = Duration::from_secs(3600);

/// The longest wait for the end of a body after its last event.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(100);

/// The stream of a model engine that is being relayed.
pub(super) struct EngineStream {
    pub(super) call: Call<Dispatched>,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
    pub(super) in_flight: InFlightGuard,
    pub(super) parser: SseParser,
    pub(super) last_activity_at: Instant,
    /// Fires at or before the time when the stream counts as timed out.
    timer: Pin<Box<Sleep>>,
    pub(super) resumable: bool,
    pub(super) tokens_per_event: u64,
}

/// The reason why a stream must be resumed.
#[derive(Debug)]
pub(super) enum StreamError {
    /// The stream ended before its last event.
    Cut(String),
    /// No event arrived in time.
    TimedOut,
    /// The validator rejected an event.
    Invalid(BreakReason),
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cut(cause) => write!(f, "the stream ended early: {cause}"),
            Self::TimedOut => f.write_str("the stream timed out"),
            Self::Invalid(reason) => write!(f, "the stream is invalid: {reason:?}"),
        }
    }
}

impl EngineStream {
    /// Creates the stream of a runner's response; the headers say whether it can be resumed.
    pub(super) fn new(response: RunnerResponse) -> Self {
        let headers = response.exchange.response.headers();
        let resumable = has_header(headers, RESUMABLE, "yes");
        let tokens_per_event = headers
            .get(TOKENS_PER_EVENT)
            .and_then(|text| text.to_str().ok());
        let tokens_per_event = tokens_per_event.and_then(|text| text.parse().ok());
        Self {
            call: response.call,
            body: response.exchange.response.into_body(),
            connection: response.exchange.connection,
            in_flight: response.in_flight,
            parser: SseParser::default(),
            last_activity_at: Instant::now(),
            timer: Box::pin(time::sleep(SILENCE_TIMER_INITIAL)),
            resumable,
            tokens_per_event: tokens_per_event.unwrap_or(1),
        }
    }

    /// Reads the next chunk; returns an error if none arrives within `silence_timeout`.
    pub(super) async fn read(&mut self, silence_timeout: Duration) -> Result<Bytes, StreamError> {
        loop {
            let due = self.last_activity_at + silence_timeout;
            if due < self.timer.deadline() {
                self.timer.as_mut().reset(due);
            }
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                () = &mut self.timer => {
                    if Instant::now() >= due {
                        return Err(StreamError::TimedOut);
                    }
                    self.timer.as_mut().reset(due);
                    continue;
                }
            };
            match frame {
                None => return Err(StreamError::Cut("no final event was received".to_owned())),
                Some(Err(cause)) => return Err(StreamError::Cut(cause.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(data);
                    }
                }
            }
        }
    }

    /// Returns the connection to the pool if the engine ends the body properly.
    pub(super) async fn recycle(mut self) {
        let end = time::timeout(BODY_END_TIMEOUT, self.body.frame()).await;
        if matches!(end, Ok(None)) {
            self.connection.recycle();
        }
    }
}
