//! Splits a byte stream into server-sent events.

use {
    bytes::{Bytes, BytesMut},
    thiserror::Error,
};

/// The largest event accepted, in bytes.
pub const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// The error of an event larger than [`EVENT_MAX_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("an event is larger than {EVENT_MAX_BYTES} bytes")]
pub struct EventTooLarge;

/// One event, or a block of comments.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The bytes of the event with the closing blank line and without comment lines.
    pub raw: Bytes,
    /// The value of the `id` field.
    pub id: Option<Bytes>,
    /// The value of the first `data` field.
    pub data: Option<Bytes>,
    /// The last comment.
    pub comment: Option<Bytes>,
}

/// Splits a byte stream into events, independently of its chunk sizes.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: Bytes,
    searched_bytes: usize,
}

impl SseParser {
    /// Adds the next chunk of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is larger than [`EVENT_MAX_BYTES`].
    pub fn push(&mut self, chunk: Bytes) -> Result<(), EventTooLarge> {
        if self.buffer.is_empty() {
            self.buffer = chunk;
            return Ok(());
        }
        if self.buffer.len() > EVENT_MAX_BYTES {
            return Err(EventTooLarge);
        }
        let mut joined = BytesMut::with_capacity(self.buffer.len() + chunk.len());
        joined.extend_from_slice(&self.buffer);
        joined.extend_from_slice(&chunk);
        self.buffer = joined.freeze();
        Ok(())
    }

    /// Returns the next complete event and removes it from the buffer.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let mut line_start = self.searched_bytes;
        while let Some(length) = memchr::memchr(b'\n', &self.buffer[line_start..]) {
            let next_line = line_start + length + 1;
            let blank = matches!(&self.buffer[line_start..next_line], b"\n" | b"\r\n");
            if blank {
                self.searched_bytes = 0;
                return Some(SseEvent::parse(self.buffer.split_to(next_line)));
            }
            line_start = next_line;
        }
        self.searched_bytes = line_start;
        None
    }
}

impl SseEvent {
    fn parse(raw: Bytes) -> Self {
        let mut event = Self::default();
        for line in lines(&raw) {
            let value = |prefix: usize| field_value(&raw, line, prefix);
            if line.starts_with(b":") {
                event.comment = Some(value(1));
            } else if line.starts_with(b"id:") {
                event.id = Some(value(3));
            } else if line.starts_with(b"data:") && event.data.is_none() {
                event.data = Some(value(5));
            }
        }
        event.raw = match event.comment {
            Some(_) => without_comments(&raw),
            None => raw,
        };
        event
    }
}

fn lines(raw: &[u8]) -> impl Iterator<Item = &[u8]> {
    raw.split_inclusive(|byte| *byte == b'\n')
}

fn field_value(raw: &Bytes, line: &[u8], prefix_bytes: usize) -> Bytes {
    let value = &line[prefix_bytes..];
    let value = value.strip_prefix(b" ").unwrap_or(value);
    let value = value.strip_suffix(b"\n").unwrap_or(value);
    let value = value.strip_suffix(b"\r").unwrap_or(value);
    raw.slice_ref(value)
}

fn without_comments(raw: &[u8]) -> Bytes {
    let kept: Vec<&[u8]> = lines(raw).filter(|line| !line.starts_with(b":")).collect();
    kept.concat().into()
}
