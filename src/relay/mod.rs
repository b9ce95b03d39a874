//! Forwards callers' requests to runners, by the rules of their routes.

mod head;

pub use head::*;
