//! One stream of a model engine, as long as it lasts.

use {
    super::{BreakReason, SseParser},
    crate::{
        entry::{Attempt, Call, Dispatched},
        http::{Connection, RESUMABLE, TOKENS_PER_EVENT, has_header},
        routing::InFlightGuard,
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{fmt, pin::Pin, time::Duration},
    tokio::time::{self, Instant, Sleep},
};

/// The first setting of a silence timer; it is brought forward when the stream is read.
const TIMER_MAX: Duration = Duration::from_secs(3600);

/// The longest wait for the end of a body whose last event was read.
const END_TIMEOUT: Duration = Duration::from_millis(100);

/// The stream that is being read.
pub(super) struct StreamSource {
    pub(super) call: Call<Dispatched>,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
    pub(super) in_flight: InFlightGuard,
    pub(super) parser: SseParser,
    pub(super) alive_at: Instant,
    /// Goes off at or before the moment at which the stream counts as silent.
    timer: Pin<Box<Sleep>>,
    pub(super) resumable: bool,
    pub(super) tokens_per_event: u64,
}

/// Why a stream must be resumed.
#[derive(Debug)]
pub(super) enum StreamFault {
    Cut(String),
    Silent,
    Broken(BreakReason),
}

impl fmt::Display for StreamFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cut(cause) => write!(f, "the stream was cut: {cause}"),
            Self::Silent => f.write_str("the stream went silent"),
            Self::Broken(reason) => write!(f, "the stream is broken: {reason:?}"),
        }
    }
}

impl StreamSource {
    pub(super) fn new(attempt: Attempt) -> Self {
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
            timer: Box::pin(time::sleep(TIMER_MAX)),
            resumable,
            tokens_per_event: tokens_per_event.unwrap_or(1),
        }
    }

    /// Reads the next chunk; fails when the stream stays silent for too long.
    pub(super) async fn read(&mut self, silence_limit: Duration) -> Result<Bytes, StreamFault> {
        loop {
            let due = self.alive_at + silence_limit;
            if due < self.timer.deadline() {
                self.timer.as_mut().reset(due);
            }
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                () = &mut self.timer => {
                    if Instant::now() >= due {
                        return Err(StreamFault::Silent);
                    }
                    self.timer.as_mut().reset(due);
                    continue;
                }
            };
            match frame {
                None => return Err(StreamFault::Cut("the stream ended early".to_owned())),
                Some(Err(cause)) => return Err(StreamFault::Cut(cause.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(data);
                    }
                }
            }
        }
    }

    /// Keeps the connection for later if the engine ends the body properly.
    pub(super) async fn recycle(mut self) {
        let end = time::timeout(END_TIMEOUT, self.body.frame()).await;
        if matches!(end, Ok(None)) {
            self.connection.recycle();
        }
    }
}
