//! Decides which events of a model engine's stream belong to the response.

use {
    super::{EventId, SseEvent},
    crate::units::RequestId,
    memchr::memmem::Finder,
    std::sync::LazyLock,
};

/// The `data` of the event that ends a stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// The field whose value, unless `null`, marks the last token.
static FINISH_REASON: LazyLock<Finder<'static>> =
    LazyLock::new(|| Finder::new(b"\"finish_reason\":"));

/// The decision on an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventDecision {
    /// The event is the next one of the response.
    Deliver,
    /// The event ends the response.
    End,
    /// The event carries no part of the response.
    Comment,
    /// The event is not part of the response, or was delivered before.
    Drop(DropReason),
    /// The stream is invalid and must be resumed.
    Break(BreakReason),
}

/// The reason why an event is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// The event belongs to another request, or carries no request id.
    Foreign,
    /// The event was already delivered.
    Duplicate,
}

/// The reason why a stream is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakReason {
    /// Events before this one are missing.
    Gap,
    /// The stream ended before its last token.
    EarlyEnd,
    /// The engine reported an error.
    EngineError,
}

/// Validates the events of the response to one request, over all resumptions of its stream.
#[derive(Debug)]
pub struct StreamValidator {
    request: RequestId,
    numbered: bool,
    tokens_per_event: u64,
    delivered: u64,
    finished: bool,
}

impl StreamValidator {
    /// Creates a validator before the first token; with `numbered`, every event must carry an id.
    pub fn new(request: RequestId, numbered: bool) -> Self {
        Self {
            request,
            numbered,
            tokens_per_event: 1,
            delivered: 0,
            finished: false,
        }
    }

    /// Requires an id on every further event.
    pub fn require_ids(&mut self) {
        self.numbered = true;
    }

    /// Sets the number of tokens in each event; the last event may have fewer.
    pub fn set_tokens_per_event(&mut self, tokens: u64) {
        self.tokens_per_event = tokens.max(1);
    }

    /// Returns whether events carry ids, so that the stream can be resumed.
    pub fn is_numbered(&self) -> bool {
        self.numbered
    }

    /// Returns the number of tokens delivered so far.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns the id of the last delivered event.
    pub fn last_event_id(&self) -> EventId {
        EventId {
            request: self.request,
            offset: self.delivered,
        }
    }

    /// Decides on the next event and records it if it is delivered.
    pub fn check(&mut self, event: &SseEvent) -> EventDecision {
        let Some(data) = &event.data else {
            return EventDecision::Comment;
        };
        match &event.id {
            Some(id) => self.check_numbered(id, data),
            None => self.check_unnumbered(data),
        }
    }

    fn check_numbered(&mut self, id: &[u8], data: &[u8]) -> EventDecision {
        let id = std::str::from_utf8(id)
            .ok()
            .and_then(|text| text.parse().ok());
        let Some(EventId { request, offset }) = id else {
            return EventDecision::Drop(DropReason::Foreign);
        };
        if request != self.request {
            return EventDecision::Drop(DropReason::Foreign);
        }
        self.numbered = true;
        if is_error(data) {
            return EventDecision::Break(BreakReason::EngineError);
        }
        if data == DONE_DATA {
            return self.check_end(offset);
        }
        let finishes = !self.finished && has_finish_reason(data);
        let newest = self.delivered + self.tokens_per_event;
        let next = match finishes {
            true => (self.delivered..=newest).contains(&offset),
            false => offset == newest,
        };
        if offset > self.delivered && !next {
            return EventDecision::Break(BreakReason::Gap);
        }
        if !next {
            return EventDecision::Drop(DropReason::Duplicate);
        }
        self.delivered = offset;
        self.finished |= finishes;
        EventDecision::Deliver
    }

    fn check_end(&self, offset: u64) -> EventDecision {
        match offset.cmp(&self.delivered) {
            std::cmp::Ordering::Less => EventDecision::Drop(DropReason::Duplicate),
            std::cmp::Ordering::Equal => EventDecision::End,
            std::cmp::Ordering::Greater => EventDecision::Break(BreakReason::Gap),
        }
    }

    fn check_unnumbered(&mut self, data: &[u8]) -> EventDecision {
        if is_error(data) {
            return EventDecision::Break(BreakReason::EngineError);
        }
        match (data == DONE_DATA, self.numbered) {
            (true, false) => EventDecision::End,
            (true, true) if self.finished => EventDecision::End,
            (true, true) => EventDecision::Break(BreakReason::EarlyEnd),
            (false, true) => EventDecision::Drop(DropReason::Foreign),
            (false, false) => {
                self.delivered += 1;
                EventDecision::Deliver
            }
        }
    }
}

fn is_error(data: &[u8]) -> bool {
    data.starts_with(b"{\"error\"")
}

fn has_finish_reason(data: &[u8]) -> bool {
    let Some(position) = FINISH_REASON.find(data) else {
        return false;
    };
    let value = &data[position + FINISH_REASON.needle().len()..];
    let value = value.trim_ascii_start();
    value.starts_with(b"\"")
}
