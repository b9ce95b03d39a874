//! Records of concurrent runs, and the checkers that judge them.

mod revision_check;

pub use revision_check::*;
