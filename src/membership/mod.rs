//! Which entry VMs are alive.

mod backoff;
mod heartbeat;
mod member;
mod roster;

pub use {backoff::*, heartbeat::*, member::*, roster::*};
