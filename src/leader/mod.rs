//! Node registration and leader election; only the leader sends orders to runners.

mod boot_clock;
mod campaign;
mod cluster_view;
mod election_action;
mod election_task;
mod key_watch;
mod keys;
mod leader_record;
mod membership;
mod term;
mod term_timing;
mod term_watchdog;

pub use {boot_clock::*, leader_record::*, membership::*, term::*, term_timing::*};
