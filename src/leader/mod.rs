//! Node registration and leader election; only the leader sends orders to runners.

mod boot_clock;
mod cluster_view;
mod contention;
mod duty;
mod election;
mod follow;
mod guard;
mod keys;
mod membership;
mod seat;
mod tenure;
mod term;

pub use {boot_clock::*, membership::*, seat::*, tenure::*, term::*};
