//! The memory of a process for the bodies of requests and responses.
//!
//! Each body has a share, which returns its bytes when it is dropped. While all shares are in use,
//! the bodies that arrive most slowly for their size give way.

mod body_reader;
mod held_bytes;
mod ledger;
mod memory_limits;
mod memory_share;
#[allow(clippy::module_inception)]
mod request_memory;

pub use {held_bytes::*, ledger::*, memory_limits::*, memory_share::*, request_memory::*};
