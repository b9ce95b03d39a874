//! Keeps a request with an idempotency key from running twice.
//!
//! A caller's own key is claimed in the key-value service before the request is dispatched. A
//! ticket is a key that an entry has minted: only that entry dispatches it, so that no shared
//! store is needed.

mod claim_batch;
mod claim_lease;
mod claims;
mod held_key;
mod key_guard;
mod key_memory;
mod ticket;
mod ticket_book;

pub use {held_key::*, key_guard::*, ticket::*};
