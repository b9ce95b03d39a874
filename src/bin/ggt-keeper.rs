//! The keeper daemon.

fn main() {}
