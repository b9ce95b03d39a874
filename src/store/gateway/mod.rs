//! The messages of the JSON gateway of etcd version 3.
//!
//! Fields with default values may be omitted, 64-bit integers are encoded as decimal text, and keys
//! and values as base64.

mod convert;
mod lease;
mod range;
mod scalar;
mod txn;
mod watch;

pub use {convert::*, lease::*, range::*, scalar::*, txn::*, watch::*};
