//! The messages of the JSON gateway of etcd version 3.
//!
//! Fields that hold their default may be left out, 64-bit numbers are text, keys and values are
//! base64.

mod convert;
mod lease;
mod range;
mod scalar;
mod txn;
mod watch;

pub use {convert::*, lease::*, range::*, scalar::*, txn::*, watch::*};
