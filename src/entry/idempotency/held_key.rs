//! An idempotency key that is held by one request.

use {
    super::{
        key_cache::{KeyCache, KeyDigest},
        ticket_registry::TicketRegistry,
    },
    crate::units::RequestId,
    std::sync::Arc,
};

/// An idempotency key that is held by one request.
///
/// If it is dropped without [`release`](Self::release) or [`finish`](Self::finish), the key stays
/// held, since the outcome of its request is unknown.
#[derive(Debug)]
pub struct HeldKey(KeySource);

#[derive(Debug)]
enum KeySource {
    Claim {
        key_cache: Arc<KeyCache>,
        digest: KeyDigest,
        request: RequestId,
    },
    Ticket {
        tickets: Arc<TicketRegistry>,
        number: u64,
    },
}

impl HeldKey {
    pub(super) fn claim(key_cache: Arc<KeyCache>, digest: KeyDigest, request: RequestId) -> Self {
        Self(KeySource::Claim {
            key_cache,
            digest,
            request,
        })
    }

    pub(super) fn ticket(tickets: Arc<TicketRegistry>, number: u64) -> Self {
        Self(KeySource::Ticket { tickets, number })
    }

    /// Releases the key, because its request provably did not run.
    pub fn release(self) {
        match self.0 {
            KeySource::Claim {
                key_cache,
                digest,
                request,
            } => key_cache.release(&digest, request),
            KeySource::Ticket { tickets, number } => tickets.release(number),
        }
    }

    /// Records the status of the response to the request.
    pub fn finish(self, status: u16) {
        match self.0 {
            KeySource::Claim {
                key_cache, digest, ..
            } => key_cache.finish(&digest, status),
            KeySource::Ticket { tickets, number } => tickets.finish(number, status),
        }
    }
}
