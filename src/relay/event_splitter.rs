//! Splits a byte stream into complete server-sent events and checks the event ids.

use {
    bytes::{Bytes, BytesMut},
    thiserror::Error,
};

/// The largest event, in bytes.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// The reason why a stream of events cannot be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum EventError {
    /// An event is too large.
    #[error("an event is larger than {EVENT_MAX_BYTES} bytes")]
    TooLarge,
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
    buffered: Bytes,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last_id`.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            buffered: Bytes::new(),
            last_id,
        }
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the buffer holds a part of an event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffered.is_empty()
    }

    /// Adds a chunk and returns the bytes of all events that are now complete.
    ///
    /// Events before an error are returned with it; no chunk may be added after an error.
    pub fn push(&mut self, chunk: Bytes) -> (Bytes, Option<EventError>) {
        let searched = self.buffered.len();
        let mut buffer = self.join(chunk);
        let mut end = 0;
        let mut error = None;
        let mut line = line_start(&buffer, searched);
        while let Some(length) = memchr::memchr(b'\n', &buffer[line..]) {
            let next = line + length + 1;
            if matches!(&buffer[line..next], b"\n" | b"\r\n") {
                error = self.check_id(&buffer[end..next]).err();
                if error.is_some() {
                    break;
                }
                end = next;
            }
            line = next;
        }
        let complete = buffer.split_to(end);
        if buffer.len() > EVENT_MAX_BYTES {
            error = error.or(Some(EventError::TooLarge));
        }
        self.buffered = buffer;
        (complete, error)
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

    fn join(&mut self, chunk: Bytes) -> Bytes {
        if self.buffered.is_empty() {
            return chunk;
        }
        let mut joined = BytesMut::with_capacity(self.buffered.len() + chunk.len());
        joined.extend_from_slice(&self.buffered);
        joined.extend_from_slice(&chunk);
        joined.freeze()
    }
}

/// Returns the start of the line that contains the byte at `position`.
fn line_start(buffer: &[u8], position: usize) -> usize {
    let found = memchr::memrchr(b'\n', &buffer[..position]);
    found.map_or(0, |newline| newline + 1)
}

fn event_id(event: &[u8]) -> Result<Option<u64>, EventError> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let Some(line) = lines.find(|line| line.starts_with(b"id:")) else {
        return Ok(None);
    };
    let text = std::str::from_utf8(&line[3..]).map_err(|_| EventError::Id)?;
    text.trim().parse().map(Some).map_err(|_| EventError::Id)
}
