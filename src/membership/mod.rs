//! Membership of entry VMs: the leases that mark them as live, and the list of live members.

mod backoff;
mod heartbeat;
mod member;
mod member_list;

pub use {backoff::*, heartbeat::*, member::*, member_list::*};
