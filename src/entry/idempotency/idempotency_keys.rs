//! Decides whether a request with an idempotency key may be dispatched by this entry.

use {
    super::{
        HeldKey, Ticket,
        claim_batch::ClaimOutcome,
        claims::Claims,
        key_cache::{KeyCache, KeyDigest, KeyInUse},
        ticket_registry::{TicketRefusal, TicketRegistry},
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

/// The decision on a request with an idempotency key.
#[derive(Debug)]
pub enum KeyDecision {
    /// The request holds the key and may be dispatched.
    Dispatch(HeldKey),
    /// The key is a ticket of another entry, which must dispatch the request.
    Forward(Ticket),
    /// The key was used before; holds the status of that response, if known.
    Used(Option<u16>),
    /// The ticket is too old: the record of an earlier use may have been removed.
    Expired,
    /// The key could not be claimed in the store.
    ClaimFailed,
    /// The ticket was not minted by this system for this service.
    Forged,
}

/// The idempotency keys known to this entry: callers' own keys and tickets.
#[derive(Debug)]
pub struct IdempotencyKeys {
    key_cache: Arc<KeyCache>,
    tickets: Arc<TicketRegistry>,
    claims: Claims,
    /// Forwards calls to the entries that minted other tickets.
    pub forwarder: Arc<dyn Forwarder>,
}

impl IdempotencyKeys {
    /// Creates the registry for this incarnation of an entry.
    pub fn new(
        settings: &EntrySettings,
        store: SharedStore,
        forwarder: Arc<dyn Forwarder>,
    ) -> Self {
        let incarnation = Incarnation::from_current_time();
        let key = SharedKey::new(settings.peer_key.as_bytes());
        Self {
            key_cache: Arc::default(),
            tickets: Arc::new(TicketRegistry::new(settings.vm.clone(), incarnation, key)),
            claims: Claims::new(store),
            forwarder,
        }
    }

    /// Mints a ticket for a service.
    pub fn mint(&self, service: &ServiceName) -> Ticket {
        self.tickets.mint(service)
    }

    /// Acquires a key for a request: marks a ticket as used, or claims a caller's own key.
    pub async fn acquire(
        &self,
        service: &ServiceName,
        key: &str,
        request: RequestId,
    ) -> KeyDecision {
        match key.parse() {
            Ok(ticket) => self.acquire_ticket(service, ticket),
            Err(_) => self.acquire_claim(service, key, request).await,
        }
    }

    fn acquire_ticket(&self, service: &ServiceName, ticket: Ticket) -> KeyDecision {
        if !self.tickets.is_authentic(&ticket, service) {
            return KeyDecision::Forged;
        }
        if !self.tickets.is_own(&ticket) {
            return KeyDecision::Forward(ticket);
        }
        match self.tickets.mark_used(&ticket) {
            Ok(()) => KeyDecision::Dispatch(HeldKey::ticket(self.tickets.clone(), ticket.number)),
            Err(TicketRefusal::Used(status)) => KeyDecision::Used(status),
            Err(TicketRefusal::Expired) => KeyDecision::Expired,
        }
    }

    async fn acquire_claim(
        &self,
        service: &ServiceName,
        key: &str,
        request: RequestId,
    ) -> KeyDecision {
        let digest = digest(service, key);
        let released_by = match self.key_cache.try_hold(digest) {
            Ok(released_by) => released_by,
            Err(KeyInUse(status)) => return KeyDecision::Used(status),
        };
        let held = HeldKey::claim(self.key_cache.clone(), digest, request);
        match self.claims.claim(&digest, request).await {
            ClaimOutcome::Claimed => KeyDecision::Dispatch(held),
            ClaimOutcome::ClaimedByOther(Some(found)) if released_by.contains(&found) => {
                KeyDecision::Dispatch(held)
            }
            ClaimOutcome::ClaimedByOther(_) => KeyDecision::Used(None),
            ClaimOutcome::Unavailable => {
                held.release();
                KeyDecision::ClaimFailed
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
