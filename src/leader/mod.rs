//! Node registration and leader election; only the leader sends orders to runners.
//!
//! Each node holds a lease in the store, and its registration key is bound to the lease. The node
//! that writes the leader key under its lease leads for a term, whose fencing token is the store
//! version of that write, or higher where the store went back to an older copy of itself. A new
//! leader waits before it sends orders, so that runners do not execute
//! orders of two leaders at the same time.

mod boot_clock;
mod campaign;
mod cluster_view;
mod election_action;
mod election_task;
mod held_term;
mod key_watch;
mod keys;
mod leader_record;
mod lost_history;
mod membership;
mod succession;
mod term;
mod term_timing;
mod term_watchdog;

pub use {boot_clock::*, leader_record::*, membership::*, term::*, term_timing::*};
