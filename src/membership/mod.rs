//! Which entry VMs are alive.

mod member;

pub use member::*;
