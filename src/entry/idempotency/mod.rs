//! Keeps a request with an idempotency key from running twice.
//!
//! A caller's own key is claimed in the key-value service before the request is dispatched. A
//! ticket is a key that an entry has minted: only that entry dispatches it, so that no shared
//! store is needed.

mod claim_batch;
mod claim_lease;
mod claims;
mod held_key;
mod idempotency_keys;
mod key_cache;
mod ticket;
mod ticket_registry;

pub use {held_key::*, idempotency_keys::*, ticket::*};
