//! Decides whether a request with an idempotency key may be dispatched here.

use {
    super::{
        HeldKey, Ticket,
        claim_batch::ClaimOutcome,
        claims::Claims,
        key_memory::{KeyDigest, KeyMemory, KeyTaken},
        ticket_book::{TicketBook, TicketRefusal},
    },
    crate::{
        entry::EntrySettings,
        entry::Forwarder,
        peer::SharedKey,
        store::SharedStore,
        units::{Incarnation, RequestId, ServiceName},
    },
    sha2::{Digest, Sha256},
    std::sync::Arc,
};

/// What a key allows.
#[derive(Debug)]
pub enum KeyVerdict {
    /// The request may be dispatched.
    Dispatch(HeldKey),
    /// Another entry minted the ticket and must decide.
    Forward(Ticket),
    /// The key was used before; the status of that answer, if it is remembered.
    Used(Option<u16>),
    /// An earlier use may be forgotten.
    Expired,
    /// The key could not be claimed.
    NoClaim,
    /// The ticket is not authentic.
    Forged,
}

/// Decides whether a request with an idempotency key may be dispatched here.
#[derive(Debug)]
pub struct KeyGuard {
    memory: Arc<KeyMemory>,
    book: Arc<TicketBook>,
    claims: Claims,
    /// Reaches the entries that minted other tickets.
    pub forwarder: Arc<dyn Forwarder>,
}

impl KeyGuard {
    /// Makes a guard for this start of an entry.
    pub fn new(
        settings: &EntrySettings,
        store: SharedStore,
        forwarder: Arc<dyn Forwarder>,
    ) -> Self {
        let incarnation = Incarnation::from_current_time();
        let key = SharedKey::new(settings.peer_key.as_bytes());
        Self {
            memory: Arc::default(),
            book: Arc::new(TicketBook::new(settings.vm.clone(), incarnation, key)),
            claims: Claims::new(store),
            forwarder,
        }
    }

    /// Mints a ticket for a service.
    pub fn mint(&self, service: &ServiceName) -> Ticket {
        self.book.mint(service)
    }

    /// Decides whether a request may be dispatched here.
    pub async fn judge(&self, service: &ServiceName, key: &str, request: RequestId) -> KeyVerdict {
        match key.parse() {
            Ok(ticket) => self.judge_ticket(service, ticket),
            Err(_) => self.judge_claim(service, key, request).await,
        }
    }

    fn judge_ticket(&self, service: &ServiceName, ticket: Ticket) -> KeyVerdict {
        if !self.book.is_authentic(&ticket, service) {
            return KeyVerdict::Forged;
        }
        if !self.book.is_own(&ticket) {
            return KeyVerdict::Forward(ticket);
        }
        match self.book.take(&ticket) {
            Ok(()) => KeyVerdict::Dispatch(HeldKey::ticket(self.book.clone(), ticket.number)),
            Err(TicketRefusal::Used(status)) => KeyVerdict::Used(status),
            Err(TicketRefusal::Expired) => KeyVerdict::Expired,
        }
    }

    async fn judge_claim(
        &self,
        service: &ServiceName,
        key: &str,
        request: RequestId,
    ) -> KeyVerdict {
        let digest = digest(service, key);
        let released = match self.memory.hold(digest) {
            Ok(released) => released,
            Err(KeyTaken(status)) => return KeyVerdict::Used(status),
        };
        let held = HeldKey::claim(self.memory.clone(), digest, request);
        match self.claims.claim(&digest, request).await {
            ClaimOutcome::Claimed => KeyVerdict::Dispatch(held),
            ClaimOutcome::Found(Some(found)) if released.contains(&found) => {
                KeyVerdict::Dispatch(held)
            }
            ClaimOutcome::Found(_) => KeyVerdict::Used(None),
            ClaimOutcome::NoAnswer => {
                held.release();
                KeyVerdict::NoClaim
            }
        }
    }
}

fn digest(service: &ServiceName, key: &str) -> KeyDigest {
    let mut hasher = Sha256::new();
    hasher.update(service.as_str().as_bytes());
    hasher.update(b"\n");
    hasher.update(key.as_bytes());
    hasher.finalize().into()
}
