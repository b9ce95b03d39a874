//! The published form of a configuration: a manifest and content-addressed chunks.

mod blob;
mod chunk;
mod compress;
mod encoded_snapshot;
mod error;
mod manifest;
mod pack;

pub use {blob::*, encoded_snapshot::*, error::*, manifest::*};
