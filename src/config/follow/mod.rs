//! Follows the published configuration: fetches and activates only newer revisions.

mod blob_source;
mod fetch;
mod follower;

pub use {blob_source::*, fetch::*, follower::*};
