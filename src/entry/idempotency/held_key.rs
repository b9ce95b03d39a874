//! A key that is held for one request.

use {
    super::{
        key_cache::{KeyDigest, KeyMemory},
        ticket_registry::TicketBook,
    },
    crate::units::RequestId,
    std::sync::Arc,
};

/// A key that is held for one request.
///
/// Dropped without [`release`](Self::release) or [`finish`](Self::finish), the key stays held:
/// the outcome of its request is unknown.
#[derive(Debug)]
pub struct HeldKey(Holder);

#[derive(Debug)]
enum Holder {
    Claim {
        memory: Arc<KeyMemory>,
        digest: KeyDigest,
        request: RequestId,
    },
    Ticket {
        book: Arc<TicketBook>,
        number: u64,
    },
}

impl HeldKey {
    pub(super) fn claim(memory: Arc<KeyMemory>, digest: KeyDigest, request: RequestId) -> Self {
        Self(Holder::Claim {
            memory,
            digest,
            request,
        })
    }

    pub(super) fn ticket(book: Arc<TicketBook>, number: u64) -> Self {
        Self(Holder::Ticket { book, number })
    }

    /// Gives the key back, because its request provably did not run.
    pub fn release(self) {
        match self.0 {
            Holder::Claim {
                memory,
                digest,
                request,
            } => memory.release(&digest, request),
            Holder::Ticket { book, number } => book.release(number),
        }
    }

    /// Remembers the status that the request was answered with.
    pub fn finish(self, status: u16) {
        match self.0 {
            Holder::Claim { memory, digest, .. } => memory.finish(&digest, status),
            Holder::Ticket { book, number } => book.finish(number, status),
        }
    }
}
