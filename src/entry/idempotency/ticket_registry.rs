//! Mints the tickets of this incarnation of an entry, and records which of them are used.

use {
    super::Ticket,
    crate::{
        peer::SharedKey,
        units::{Incarnation, ServiceName, VmName},
    },
    std::{
        sync::{
            Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::Instant,
};

/// How long a ticket can be used after it was minted.
pub(super) const TICKET_TTL: Duration = Duration::from_secs(3600);

/// The number of shards, each under its own lock.
const TICKET_SHARDS: usize = 16;

/// The state of a used ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TicketState {
    Dispatched,
    Answered(u16),
}

/// A ticket whose request was dispatched.
#[derive(Debug)]
struct UsedTicket {
    number: u64,
    minted_ms: u64,
    state: TicketState,
}

/// The reason why a ticket cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TicketRefusal {
    /// The ticket was used before; holds the status of its response, if there was one.
    Used(Option<u16>),
    /// The ticket is too old: the record of an earlier use may have been removed.
    Expired,
}

/// The tickets of this incarnation of an entry.
#[derive(Debug)]
pub(super) struct TicketRegistry {
    vm: VmName,
    incarnation: Incarnation,
    key: SharedKey,
    started: Instant,
    minted: AtomicU64,
    used_tickets: [Mutex<Vec<UsedTicket>>; TICKET_SHARDS],
}

impl TicketRegistry {
    pub(super) fn new(vm: VmName, incarnation: Incarnation, key: SharedKey) -> Self {
        Self {
            vm,
            incarnation,
            key,
            started: Instant::now(),
            minted: AtomicU64::new(0),
            used_tickets: Default::default(),
        }
    }

    pub(super) fn mint(&self, service: &ServiceName) -> Ticket {
        let number = self.minted.fetch_add(1, Ordering::Relaxed);
        let (vm, incarnation) = (self.vm.clone(), self.incarnation);
        Ticket::mint(&self.key, service, vm, incarnation, number, self.now_ms())
    }

    pub(super) fn is_authentic(&self, ticket: &Ticket, service: &ServiceName) -> bool {
        ticket.is_authentic(&self.key, service)
    }

    /// Returns whether this incarnation of this entry minted the ticket.
    pub(super) fn is_own(&self, ticket: &Ticket) -> bool {
        ticket.vm == self.vm && ticket.incarnation == self.incarnation
    }

    /// Marks a ticket as used.
    pub(super) fn mark_used(&self, ticket: &Ticket) -> Result<(), TicketRefusal> {
        let oldest_ms = self.now_ms().saturating_sub(TICKET_TTL.as_millis() as u64);
        if ticket.minted_ms < oldest_ms {
            return Err(TicketRefusal::Expired);
        }
        let mut used = self.lock_shard(ticket.number);
        let expired = used.partition_point(|other| other.minted_ms < oldest_ms);
        used.drain(..expired);
        match used.binary_search_by_key(&ticket.number, |other| other.number) {
            Ok(position) => Err(TicketRefusal::Used(match used[position].state {
                TicketState::Dispatched => None,
                TicketState::Answered(status) => Some(status),
            })),
            Err(position) => {
                let used_ticket = UsedTicket {
                    number: ticket.number,
                    minted_ms: ticket.minted_ms,
                    state: TicketState::Dispatched,
                };
                used.insert(position, used_ticket);
                Ok(())
            }
        }
    }

    /// Makes a ticket usable again, since its request did not run.
    pub(super) fn release(&self, number: u64) {
        let mut used = self.lock_shard(number);
        if let Ok(position) = used.binary_search_by_key(&number, |other| other.number) {
            used.remove(position);
        }
    }

    /// Records the status of the response to the request of a ticket.
    pub(super) fn finish(&self, number: u64, status: u16) {
        let mut used = self.lock_shard(number);
        if let Ok(position) = used.binary_search_by_key(&number, |other| other.number) {
            used[position].state = TicketState::Answered(status);
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn lock_shard(&self, number: u64) -> MutexGuard<'_, Vec<UsedTicket>> {
        let shard = &self.used_tickets[number as usize % TICKET_SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
