//! Splits a byte stream into complete server-sent events and checks the event ids.

use {
    crate::request_memory::MemoryShare,
    bytes::{Bytes, BytesMut},
    thiserror::Error,
};

/// The largest event, in bytes.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// The most chunks in which an event may arrive; each costs processor time, however small it is.
const EVENT_CHUNKS_MAX: u32 = 4_096;

/// The reason why a stream of events cannot be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum EventError {
    /// An event is too large.
    #[error("an event is larger than {EVENT_MAX_BYTES} bytes")]
    TooLarge,
    /// An event arrived in too many chunks.
    #[error("an event has more than {EVENT_CHUNKS_MAX} chunks")]
    TooManyChunks,
    /// The memory for the begins of events is used up.
    #[error("there is no memory for the rest of an event")]
    NoMemory,
    /// An event id is not the next one.
    #[error("received event id {found}, expected {expected}")]
    Order {
        /// The id that was received.
        found: u64,
        /// The id that was expected.
        expected: u64,
    },
    /// An event id is not a number.
    #[error("an event id is not a number")]
    Id,
}

/// Returns the complete events of a stream, while their ids rise by one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The begin of an event.
    partial: BytesMut,
    /// Where its last line begins, which has no end yet.
    last_line: usize,
    /// In how many chunks it has arrived.
    chunks: u32,
    /// The memory of the begin of an event.
    memory: Option<MemoryShare>,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last_id`.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Uses the memory of a budget that streams share.
    pub(super) fn with_memory(self, memory: MemoryShare) -> Self {
        Self {
            memory: Some(memory),
            ..self
        }
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the buffer holds a part of an event.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Adds a chunk and returns the bytes of all events that are now complete.
    ///
    /// Events before an error are returned with it; no chunk may be added after an error.
    pub fn push(&mut self, chunk: Bytes) -> (Bytes, Option<EventError>) {
        if self.partial.is_empty() {
            return self.split_chunk(chunk);
        }
        // Appended in place: an event may arrive in many small chunks.
        let searched = self.partial.len();
        self.partial.extend_from_slice(&chunk);
        let partial = std::mem::take(&mut self.partial);
        let split = self.find_events(&partial, searched);
        self.partial = partial;
        let complete = self.partial.split_to(split.end).freeze();
        (complete, self.keep_partial(split))
    }

    /// Splits a chunk that begins with an event, whose complete events are not copied.
    fn split_chunk(&mut self, mut chunk: Bytes) -> (Bytes, Option<EventError>) {
        let split = self.find_events(&chunk, 0);
        let complete = chunk.split_to(split.end);
        self.partial.extend_from_slice(&chunk);
        (complete, self.keep_partial(split))
    }

    /// Finds the complete events at the begin of a buffer, whose first bytes were searched before.
    fn find_events(&mut self, buffer: &[u8], searched: usize) -> EventSplit {
        let mut split = EventSplit {
            end: 0,
            last_line: self.last_line,
            error: None,
        };
        let mut from = searched;
        while let Some(length) = memchr::memchr(b'\n', &buffer[from..]) {
            let next = from + length + 1;
            if matches!(&buffer[split.last_line..next], b"\n" | b"\r\n") {
                split.error = self.check_id(&buffer[split.end..next]).err();
                if split.error.is_some() {
                    break;
                }
                split.end = next;
            }
            split.last_line = next;
            from = next;
        }
        split
    }

    /// Keeps the begin of the next event; returns the error of the split or of its size.
    fn keep_partial(&mut self, split: EventSplit) -> Option<EventError> {
        self.last_line = split.last_line - split.end;
        self.chunks = if split.end > 0 { 1 } else { self.chunks + 1 };
        if split.error.is_some() {
            return split.error;
        }
        if self.partial.len() > EVENT_MAX_BYTES {
            return Some(EventError::TooLarge);
        }
        if self.chunks > EVENT_CHUNKS_MAX {
            return Some(EventError::TooManyChunks);
        }
        let has_memory = match &mut self.memory {
            Some(memory) => memory.try_resize(self.partial.len()),
            None => true,
        };
        (!has_memory).then_some(EventError::NoMemory)
    }

    /// Checks that an event's id, if any, follows the last one.
    fn check_id(&mut self, event: &[u8]) -> Result<(), EventError> {
        let Some(found) = event_id(event)? else {
            return Ok(());
        };
        match self.last_id.map(|id| id.saturating_add(1)) {
            Some(expected) if expected != found => Err(EventError::Order { found, expected }),
            _ => {
                self.last_id = Some(found);
                Ok(())
            }
        }
    }
}

/// The complete events at the begin of a buffer.
struct EventSplit {
    /// Where the last of them ends.
    end: usize,
    /// Where the last line begins.
    last_line: usize,
    error: Option<EventError>,
}

fn event_id(event: &[u8]) -> Result<Option<u64>, EventError> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let Some(line) = lines.find(|line| line.starts_with(b"id:")) else {
        return Ok(None);
    };
    let text = std::str::from_utf8(&line[3..]).map_err(|_| EventError::Id)?;
    text.trim().parse().map(Some).map_err(|_| EventError::Id)
}
