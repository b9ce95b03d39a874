//! Follows the published configuration, upwards only.

mod blob_source;
mod fetch;
mod follower;

pub use {blob_source::*, fetch::*, follower::*};
