//! Ensures that requests with the same idempotency key run at most once.
//!
//! A caller's own key is claimed in the key-value service before the request is dispatched. A
//! ticket is a key minted by an entry: only that entry dispatches requests with this ticket, so
//! that no shared store is needed.

mod claim_batch;
mod claim_lease;
mod claims;
mod held_key;
mod idempotency_keys;
mod key_cache;
mod ticket;
mod ticket_registry;

pub use {held_key::*, idempotency_keys::*, ticket::*};
