//! Concatenates the events of one read into one buffer.

use bytes::{Bytes, BytesMut};

/// Concatenates chunks; a single chunk is not copied.
#[derive(Default)]
pub(super) struct ChunkBuffer {
    first: Bytes,
    joined: BytesMut,
}

impl ChunkBuffer {
    pub(super) fn push(&mut self, chunk: Bytes) {
        if self.first.is_empty() {
            self.first = chunk;
            return;
        }
        if self.joined.is_empty() {
            self.joined.extend_from_slice(&self.first);
        }
        self.joined.extend_from_slice(&chunk);
    }

    pub(super) fn finish(self) -> Bytes {
        match self.joined.is_empty() {
            true => self.first,
            false => self.joined.freeze(),
        }
    }
}
